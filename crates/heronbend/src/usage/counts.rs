//! Request counts by tenant.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Number of requests that servers started, by tenant.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Counts(BTreeMap<String, u64>);

impl Counts {
    /// Adds one request of a tenant.
    pub fn increment(&mut self, tenant: &str) {
        match self.0.get_mut(tenant) {
            Some(count) => *count += 1,
            None => {
                self.0.insert(tenant.to_owned(), 1);
            }
        }
    }

    /// Sets each tenant's count to the maximum of both sides. Returns whether any count increased.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut increased = false;
        for (tenant, count) in &other.0 {
            let current = self.0.entry(tenant.clone()).or_default();
            increased |= *count > *current;
            *current = (*current).max(*count);
        }
        increased
    }

    /// Adds the counts of `other` to these.
    pub fn add(&mut self, other: &Self) {
        for (tenant, count) in &other.0 {
            *self.0.entry(tenant.clone()).or_default() += count;
        }
    }

    /// Returns the number of requests of all tenants.
    pub fn total(&self) -> u64 {
        self.0.values().sum()
    }

    /// Iterates over tenants and their counts in order of tenant name.
    pub fn iter(&self) -> impl Iterator<Item = (&str, u64)> {
        self.0.iter().map(|(tenant, count)| (tenant.as_str(), *count))
    }
}

impl FromIterator<(String, u64)> for Counts {
    fn from_iter<I: IntoIterator<Item = (String, u64)>>(counts: I) -> Self {
        Self(counts.into_iter().collect())
    }
}

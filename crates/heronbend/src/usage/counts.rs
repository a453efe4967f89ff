//! Requests by tenant.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Requests that servers began, by tenant.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Counts(BTreeMap<String, u64>);

impl Counts {
    /// Counts one request.
    pub fn increment(&mut self, tenant: &str) {
        match self.0.get_mut(tenant) {
            Some(count) => *count += 1,
            None => {
                self.0.insert(tenant.to_owned(), 1);
            }
        }
    }

    /// Raises each tenant's count to that of `other`; whether any grew.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut grew = false;
        for (tenant, count) in &other.0 {
            let known = self.0.entry(tenant.clone()).or_default();
            grew |= *count > *known;
            *known = (*known).max(*count);
        }
        grew
    }

    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &Self) {
        for (tenant, count) in &other.0 {
            *self.0.entry(tenant.clone()).or_default() += count;
        }
    }

    /// Requests of all tenants together.
    pub fn total(&self) -> u64 {
        self.0.values().sum()
    }

    /// Tenants with their counts, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&str, u64)> {
        self.0.iter().map(|(tenant, count)| (tenant.as_str(), *count))
    }
}

impl FromIterator<(String, u64)> for Counts {
    fn from_iter<I: IntoIterator<Item = (String, u64)>>(counts: I) -> Self {
        Self(counts.into_iter().collect())
    }
}

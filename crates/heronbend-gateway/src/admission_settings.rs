//! Operator settings for the admission of calls under load.

use std::collections::BTreeMap;

/// Weight of a tenant or route that the settings do not name.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Where a daemon takes the rate from at which it sends calls to a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitSource {
    /// Each daemon learns its rate from the rejections and the latency of the servers.
    Learned,
    /// The daemons divide the slots of the servers among themselves.
    Shared,
}

/// How calls to a service without free slots are queued and refused.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionSettings {
    /// Source of the rate limits.
    pub limit: LimitSource,
    /// Weights of tenants in the division of a service's capacity, by tenant name.
    pub tenant_weights: BTreeMap<String, f64>,
    /// Weights of routes for callers without a tenant, by route name.
    pub route_weights: BTreeMap<String, f64>,
}

impl AdmissionSettings {
    /// Returns the weight of a call: that of its tenant, or of its route if it has no tenant.
    pub fn weight(&self, tenant: Option<&str>, route: &str) -> f64 {
        let weight = match tenant {
            Some(tenant) => self.tenant_weights.get(tenant),
            None => self.route_weights.get(route),
        };
        weight.copied().unwrap_or(DEFAULT_WEIGHT)
    }
}

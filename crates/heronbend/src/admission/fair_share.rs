//! Weighted shares of the tenants of one daemon's calls to a service.
//!
//! Load: one of many tenants sends most of the calls. What a tenant has used decays over a second;
//! it is over its share if that is more than its part of the rate, divided by weight among the
//! tenants that asked for something within the last second.

use std::collections::HashMap;
use std::time::Duration;

use crate::Moment;

/// Time constant of the decay of what a tenant has used.
const MEMORY: Duration = Duration::from_secs(1);
/// How long a tenant counts as active after its last call.
const ACTIVE_PERIOD: Duration = Duration::from_secs(1);
/// Calls that a tenant may always use, so that a small share is not rounded to nothing.
const MIN_ALLOWANCE: f64 = 1.0;

/// Key of a tenant, or of the callers of a route who belong to none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantKey(pub u32);

#[derive(Debug, Clone, Copy)]
struct Usage {
    /// Calls admitted, decayed as of `updated_at`.
    used: f64,
    updated_at: Moment,
    asked_at: Moment,
    weight: f64,
}

impl Usage {
    fn decayed(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.used * (-age / MEMORY.as_secs_f64()).exp()
    }

    fn is_active(&self, now: Moment) -> bool {
        now < self.asked_at + ACTIVE_PERIOD
    }
}

/// What each tenant has used recently.
#[derive(Debug, Clone, Default)]
pub struct FairShare {
    tenants: HashMap<TenantKey, Usage>,
    /// When inactive tenants were last removed.
    pruned_at: Moment,
}

impl FairShare {
    /// Records that a tenant of this weight asks for a call.
    pub fn record_asked(&mut self, now: Moment, tenant: TenantKey, weight: f64) {
        self.prune(now);
        let new = Usage { used: 0.0, updated_at: now, asked_at: now, weight };
        let usage = self.tenants.entry(tenant).or_insert(new);
        usage.asked_at = now;
        usage.weight = weight;
    }

    /// Records that a call of a tenant was admitted.
    pub fn record_admitted(&mut self, now: Moment, tenant: TenantKey) {
        if let Some(usage) = self.tenants.get_mut(&tenant) {
            usage.used = usage.decayed(now) + 1.0;
            usage.updated_at = now;
        }
    }

    /// Whether a tenant has used its share of `rate`, in calls per second.
    pub fn is_over_share(&self, now: Moment, tenant: TenantKey, rate: f64) -> bool {
        let active = self.tenants.values().filter(|usage| usage.is_active(now));
        let total_weight: f64 = active.map(|usage| usage.weight).sum();
        let Some(usage) = self.tenants.get(&tenant).filter(|_| total_weight > 0.0) else {
            return false;
        };
        let share = rate * MEMORY.as_secs_f64() * usage.weight / total_weight;
        usage.decayed(now) >= share.max(MIN_ALLOWANCE)
    }

    /// Number of tenants that are remembered.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Whether no tenant is remembered.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    fn prune(&mut self, now: Moment) {
        if now < self.pruned_at + ACTIVE_PERIOD {
            return;
        }
        self.pruned_at = now;
        self.tenants.retain(|_, usage| usage.is_active(now));
    }
}

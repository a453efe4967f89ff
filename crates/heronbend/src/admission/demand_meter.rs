//! Measures the rate at which callers ask one daemon for a service, by priority class and tenant.

use std::collections::HashMap;
use std::time::Duration;

use super::shares::TenantDemand;
use super::shares::CLASSES;
use super::shares::MAX_TENANTS;
use crate::Moment;

/// Time constants of the measured demand.
const MEMORY: Duration = Duration::from_millis(1500);
const SHORT_MEMORY: Duration = Duration::from_millis(300);
/// Standard deviations by which the rate of the short time constant must exceed the other one to
/// count: demand that grows is known early, while the chance of single calls is not taken for it.
const SIGNIFICANCE: f64 = 3.0;
/// How long the highest demand counts. A share follows from the lowest announcement within the hold
/// time, and from the latest ones of the others: demand that varies by chance would leave a part of
/// the capacity to nobody.
const PEAK_PERIOD: Duration = Duration::from_millis(2000);
/// Number of intervals that the period is divided into.
const PEAK_INTERVALS: usize = 4;
/// Lowest demand of a tenant that is remembered, in calls per second.
const MIN_TENANT_RATE: f64 = 0.05;
/// Number of tenants above which those without demand are removed.
const PRUNED_TENANTS: usize = 64;
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Rate of events, weighted by age.
#[derive(Debug, Clone, Copy, Default)]
struct DecayingRate {
    slow: f64,
    fast: f64,
    updated_at: Moment,
}

impl DecayingRate {
    fn record(&mut self, now: Moment) {
        let (slow, fast) = self.decayed(now);
        self.slow = slow + 1.0 / MEMORY.as_secs_f64();
        self.fast = fast + 1.0 / SHORT_MEMORY.as_secs_f64();
        self.updated_at = now;
    }

    fn decayed(&self, now: Moment) -> (f64, f64) {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        let remaining = |memory: Duration| (-age / memory.as_secs_f64()).exp();
        (self.slow * remaining(MEMORY), self.fast * remaining(SHORT_MEMORY))
    }

    fn per_second(&self, now: Moment) -> f64 {
        let (slow, fast) = self.decayed(now);
        let variance = slow.max(1.0) / (2.0 * SHORT_MEMORY.as_secs_f64());
        if fast > slow + SIGNIFICANCE * variance.sqrt() {
            fast
        } else {
            slow
        }
    }
}

/// Highest demand within a period.
#[derive(Debug, Clone, Copy, Default)]
struct Peak {
    highest: [f64; PEAK_INTERVALS],
    /// Number of the interval that was updated last, counted from the start.
    interval: u128,
}

impl Peak {
    fn record(&mut self, now: Moment, per_second: f64) -> f64 {
        let length = PEAK_PERIOD.as_millis() / PEAK_INTERVALS as u128;
        let interval = now.as_millis() / length;
        let passed = interval.saturating_sub(self.interval).min(PEAK_INTERVALS as u128);
        for past in 0..passed {
            let index = (interval - past) % PEAK_INTERVALS as u128;
            self.highest[index as usize] = 0.0;
        }
        self.interval = interval;
        let current = &mut self.highest[(interval % PEAK_INTERVALS as u128) as usize];
        *current = current.max(per_second);
        self.highest.iter().copied().fold(0.0, f64::max)
    }
}

#[derive(Debug, Clone, Copy)]
struct Tenant {
    rate: DecayingRate,
    weight: f64,
}

/// Rates at which callers ask for a service.
#[derive(Debug, Clone, Default)]
pub struct DemandMeter {
    classes: [DecayingRate; CLASSES],
    peaks: [Peak; CLASSES],
    tenants: HashMap<u64, Tenant>,
}

impl DemandMeter {
    /// Records a call of a tenant of this weight.
    pub fn record(&mut self, now: Moment, priority: u8, tenant_hash: u64, weight: f64) {
        let class = usize::from(priority).min(CLASSES - 1);
        self.classes[class].record(now);
        let new = Tenant { rate: DecayingRate::default(), weight };
        let tenant = self.tenants.entry(tenant_hash).or_insert(new);
        tenant.rate.record(now);
        tenant.weight = weight;
        if self.tenants.len() > PRUNED_TENANTS {
            self.tenants.retain(|_, tenant| tenant.rate.per_second(now) >= MIN_TENANT_RATE);
        }
    }

    /// The highest recent demand in calls per second by priority class, most urgent first.
    pub fn demand(&mut self, now: Moment) -> [f64; CLASSES] {
        let rates = self.classes.map(|rate| rate.per_second(now));
        std::array::from_fn(|class| self.peaks[class].record(now, rates[class]))
    }

    /// The tenants with the largest demand, at most [`MAX_TENANTS`].
    pub fn tenants(&self, now: Moment) -> Vec<TenantDemand> {
        let demand = |(hash, tenant): (&u64, &Tenant)| TenantDemand {
            tenant_hash: *hash,
            requests_per_second: tenant.rate.per_second(now),
            weight: tenant.weight,
        };
        let mut tenants: Vec<TenantDemand> = self.tenants.iter().map(demand).collect();
        tenants.retain(|tenant| tenant.requests_per_second >= MIN_TENANT_RATE);
        tenants.sort_by(|a, b| {
            let by_demand = b.requests_per_second.total_cmp(&a.requests_per_second);
            by_demand.then(a.tenant_hash.cmp(&b.tenant_hash))
        });
        tenants.truncate(MAX_TENANTS);
        tenants
    }
}

/// Hash of a tenant's name, which is the same at all daemons (FNV-1a).
pub fn tenant_hash(name: &str) -> u64 {
    name.bytes().fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}

//! Router state machine, free of I/O.

use std::collections::BTreeMap;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::breaker::{Breaker, RequestOutcome};
use super::subset::rendezvous_score;
use crate::lifecycle::{Backend, BackendName, Phase};
use crate::Moment;

/// Multiple of the mean load up to which an engine keeps its prefixes.
const AFFINITY_LOAD_FACTOR: f64 = 1.25;
/// Load allowed above that bound, so that affinity also holds in a nearly idle pool.
const AFFINITY_SLACK: f64 = 4.0;
/// Load added to backends of other zones, in requests.
const ZONE_PENALTY: f64 = 0.5;

/// Load reported by a backend. Reports arrive with a delay.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Loaded weight version; `None` if the backend does not report a verified one.
    pub version: Option<u64>,
}

/// Constraints on the backend of one request.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// Pool whose backends are considered.
    pub pool: &'a str,
    /// Maximum number of in-flight requests of this router per backend.
    pub max_in_flight: usize,
    /// Hash of the prompt's prefix, for prefix affinity.
    pub prefix: Option<u64>,
    /// Minimum weight version.
    pub min_version: Option<u64>,
    /// Backends that were already tried.
    pub exclude: &'a [BackendName],
}

/// Error of [`Router::choose`]. The request was not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RouteError {
    /// No backend is live, allowed by its breaker and matching the query.
    #[error("no back end of the pool is live")]
    NoBackend,
    /// Every eligible backend has reached its in-flight limit.
    #[error("every back end of the pool is at its limit")]
    Full,
}

#[derive(Debug, Clone)]
struct Candidate {
    backend: Backend,
    phase: Phase,
    report: LoadReport,
    in_flight: u32,
    in_flight_at_report: u32,
    breaker: Breaker,
}

impl Candidate {
    /// Estimated number of requests at the backend: the last report plus the change of this
    /// router's in-flight requests since then, and a penalty for other zones.
    fn load(&self, local_zone: &str) -> f64 {
        let reported = f64::from(self.report.running + self.report.waiting);
        let in_flight_change = f64::from(self.in_flight) - f64::from(self.in_flight_at_report);
        let zone_penalty = if self.backend.zone == local_zone { 0.0 } else { ZONE_PENALTY };
        (reported + in_flight_change).max(f64::from(self.in_flight)) + zone_penalty
    }
}

/// Load balancer of one sending thread.
#[derive(Debug)]
pub struct Router {
    zone: String,
    candidates: BTreeMap<BackendName, Candidate>,
    random: SmallRng,
}

impl Router {
    /// Creates a router in `zone` without backends; `seed` makes its random choices reproducible.
    pub fn new(zone: &str, seed: u64) -> Self {
        Self {
            zone: zone.to_owned(),
            candidates: BTreeMap::new(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Replaces the set of backends. State of backends with an unchanged incarnation is kept.
    pub fn update(&mut self, backends: impl Iterator<Item = (Backend, Phase)>) {
        let mut previous = std::mem::take(&mut self.candidates);
        for (backend, phase) in backends {
            let previous_state = previous
                .remove(&backend.name)
                .filter(|old| old.backend.incarnation == backend.incarnation);
            let candidate = match previous_state {
                Some(old) => Candidate { backend, phase, ..old },
                None => Candidate {
                    backend,
                    phase,
                    report: LoadReport::default(),
                    in_flight: 0,
                    in_flight_at_report: 0,
                    breaker: Breaker::default(),
                },
            };
            self.candidates.insert(candidate.backend.name.clone(), candidate);
        }
    }

    /// Marks a backend as leaving ahead of the next [`Router::update`].
    pub fn mark_leaving(&mut self, name: &BackendName) {
        if let Some(candidate) = self.candidates.get_mut(name) {
            candidate.phase = candidate.phase.max(Phase::Leaving);
        }
    }

    /// Records a load report of a backend.
    pub fn report(&mut self, name: &BackendName, report: LoadReport) {
        if let Some(candidate) = self.candidates.get_mut(name) {
            candidate.report = report;
            candidate.in_flight_at_report = candidate.in_flight;
        }
    }

    /// Chooses a backend for a request and counts the request as in flight there.
    ///
    /// The caller must report the end of the request to [`Router::finished`].
    pub fn choose(&mut self, now: Moment, query: &Query<'_>) -> Result<Backend, RouteError> {
        let eligible: Vec<&Candidate> = self
            .candidates
            .values()
            .filter(|candidate| is_eligible(candidate, now, query))
            .collect();
        if eligible.is_empty() {
            return Err(RouteError::NoBackend);
        }
        let available: Vec<&Candidate> = eligible
            .into_iter()
            .filter(|candidate| (candidate.in_flight as usize) < query.max_in_flight)
            .collect();
        if available.is_empty() {
            return Err(RouteError::Full);
        }
        let preferred =
            query.prefix.and_then(|prefix| prefix_owner(&available, prefix, &self.zone));
        let chosen = match preferred {
            Some(candidate) => candidate,
            None => less_loaded_of_two(&available, &mut self.random, &self.zone),
        };
        let name = chosen.backend.name.clone();
        let candidate = self.candidates.get_mut(&name).expect("chosen from the candidates");
        candidate.in_flight += 1;
        candidate.breaker.started();
        Ok(candidate.backend.clone())
    }

    /// Records the end of a request that was routed by [`Router::choose`].
    ///
    /// Ignored if the backend has been removed or replaced by another incarnation.
    pub fn finished(&mut self, now: Moment, backend: &Backend, outcome: RequestOutcome) {
        if let Some(candidate) = self.candidates.get_mut(&backend.name) {
            if candidate.backend.incarnation == backend.incarnation {
                candidate.in_flight = candidate.in_flight.saturating_sub(1);
                candidate.breaker.finished(now, outcome);
            }
        }
    }

    /// Returns how many more requests with these constraints the eligible backends can take.
    pub fn free_slots(&self, now: Moment, query: &Query<'_>) -> usize {
        self.candidates
            .values()
            .filter(|candidate| is_eligible(candidate, now, query))
            .map(|candidate| query.max_in_flight.saturating_sub(candidate.in_flight as usize))
            .sum()
    }
}

fn is_eligible(candidate: &Candidate, now: Moment, query: &Query<'_>) -> bool {
    let new_enough = match query.min_version {
        None => true,
        Some(minimum) => candidate.report.version.is_some_and(|version| version >= minimum),
    };
    candidate.phase == Phase::Live
        && candidate.backend.pool == query.pool
        && new_enough
        && candidate.breaker.allows(now)
        && !query.exclude.contains(&candidate.backend.name)
}

/// Returns the engine that owns the prefix, unless its load exceeds the affinity bound.
fn prefix_owner<'a>(available: &[&'a Candidate], prefix: u64, zone: &str) -> Option<&'a Candidate> {
    let total: f64 = available.iter().map(|candidate| candidate.load(zone)).sum();
    let bound = (total / available.len() as f64) * AFFINITY_LOAD_FACTOR + AFFINITY_SLACK;
    let key = prefix.to_le_bytes();
    available
        .iter()
        .max_by_key(|candidate| rendezvous_score(&key, candidate.backend.name.0.as_bytes()))
        .filter(|candidate| candidate.load(zone) <= bound)
        .copied()
}

/// Returns the less loaded of two distinct random candidates.
fn less_loaded_of_two<'a>(
    available: &[&'a Candidate],
    random: &mut SmallRng,
    zone: &str,
) -> &'a Candidate {
    let first = random.random_range(0..available.len());
    if available.len() == 1 {
        return available[first];
    }
    let offset = random.random_range(1..available.len());
    let second = (first + offset) % available.len();
    if available[second].load(zone) < available[first].load(zone) {
        available[second]
    } else {
        available[first]
    }
}

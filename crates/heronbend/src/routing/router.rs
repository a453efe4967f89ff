//! The router's state, without I/O.

use std::collections::BTreeMap;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::breaker::{Breaker, RequestOutcome};
use super::subset::rendezvous_score;
use crate::lifecycle::{Backend, BackendName, Phase};
use crate::Moment;

/// How far above the mean an engine may be loaded and still attract its prefixes.
const AFFINITY_LOAD_FACTOR: f64 = 1.25;
/// Load that affinity always tolerates, so that a nearly idle pool keeps its prefixes together.
const AFFINITY_SLACK: f64 = 4.0;
/// Extra load at which a back end of another zone is as good as one of the own zone.
const ZONE_PENALTY: f64 = 0.5;

/// What a back end reports of itself; it lags.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests being run.
    pub running: u32,
    /// Requests waiting to be run.
    pub waiting: u32,
    /// Weight version that is loaded, for an engine that can vouch for one.
    pub version: Option<u64>,
}

/// What is being routed.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// The pool to choose from.
    pub pool: &'a str,
    /// Most requests this router may have under way at one back end.
    pub max_in_flight: usize,
    /// Hash of the prompt's prefix, where affinity is wanted.
    pub prefix: Option<u64>,
    /// Oldest weight version that will do.
    pub min_version: Option<u64>,
    /// Back ends already tried.
    pub exclude: &'a [BackendName],
}

/// Why no back end was chosen; nothing was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RouteError {
    /// No live back end is known.
    #[error("no back end of the pool is live")]
    NoBackend,
    /// Live back ends are known, but none has a place.
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
    /// Estimated requests at the back end: the report, corrected by this router's own change since.
    fn load(&self, own_zone: &str) -> f64 {
        let reported = f64::from(self.report.running + self.report.waiting);
        let own_change = f64::from(self.in_flight) - f64::from(self.in_flight_at_report);
        let penalty = if self.backend.zone == own_zone { 0.0 } else { ZONE_PENALTY };
        (reported + own_change).max(f64::from(self.in_flight)) + penalty
    }
}

/// Chooses back ends for one thread.
#[derive(Debug)]
pub struct Router {
    zone: String,
    candidates: BTreeMap<BackendName, Candidate>,
    random: SmallRng,
}

impl Router {
    /// A router in `zone` that knows no back end yet.
    pub fn new(zone: &str, seed: u64) -> Self {
        Self {
            zone: zone.to_owned(),
            candidates: BTreeMap::new(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Replaces the known back ends. What is known of a run that stays is kept.
    pub fn update(&mut self, backends: impl Iterator<Item = (Backend, Phase)>) {
        let mut previous = std::mem::take(&mut self.candidates);
        for (backend, phase) in backends {
            let kept = previous
                .remove(&backend.name)
                .filter(|old| old.backend.incarnation == backend.incarnation);
            let candidate = match kept {
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

    /// Marks a back end as leaving in this router, ahead of the next [`Router::update`].
    pub fn mark_leaving(&mut self, name: &BackendName) {
        if let Some(candidate) = self.candidates.get_mut(name) {
            candidate.phase = candidate.phase.max(Phase::Leaving);
        }
    }

    /// Takes in a load report.
    pub fn report(&mut self, name: &BackendName, report: LoadReport) {
        if let Some(candidate) = self.candidates.get_mut(name) {
            candidate.report = report;
            candidate.in_flight_at_report = candidate.in_flight;
        }
    }

    /// Chooses a back end and counts the request as under way there.
    pub fn choose(&mut self, now: Moment, query: &Query<'_>) -> Result<Backend, RouteError> {
        let live: Vec<&Candidate> = self
            .candidates
            .values()
            .filter(|candidate| is_eligible(candidate, now, query))
            .collect();
        if live.is_empty() {
            return Err(RouteError::NoBackend);
        }
        let open: Vec<&Candidate> = live
            .into_iter()
            .filter(|candidate| (candidate.in_flight as usize) < query.max_in_flight)
            .collect();
        if open.is_empty() {
            return Err(RouteError::Full);
        }
        let preferred =
            query.prefix.and_then(|prefix| preferred_by_prefix(&open, prefix, &self.zone));
        let chosen = match preferred {
            Some(candidate) => candidate,
            None => lighter_of_two(&open, &mut self.random, &self.zone),
        };
        let name = chosen.backend.name.clone();
        let candidate = self.candidates.get_mut(&name).expect("it was just chosen");
        candidate.in_flight += 1;
        candidate.breaker.started();
        Ok(candidate.backend.clone())
    }

    /// Notes that a request chosen by [`Router::choose`] has ended.
    pub fn finished(&mut self, now: Moment, backend: &Backend, outcome: RequestOutcome) {
        if let Some(candidate) = self.candidates.get_mut(&backend.name) {
            if candidate.backend.incarnation == backend.incarnation {
                candidate.in_flight = candidate.in_flight.saturating_sub(1);
                candidate.breaker.finished(now, outcome);
            }
        }
    }

    /// Places that are left for requests like this one.
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
        Some(oldest) => candidate.report.version.is_some_and(|version| version >= oldest),
    };
    candidate.phase == Phase::Live
        && candidate.backend.pool == query.pool
        && new_enough
        && candidate.breaker.allows(now)
        && !query.exclude.contains(&candidate.backend.name)
}

fn preferred_by_prefix<'a>(
    open: &[&'a Candidate],
    prefix: u64,
    zone: &str,
) -> Option<&'a Candidate> {
    let total: f64 = open.iter().map(|candidate| candidate.load(zone)).sum();
    let bound = (total / open.len() as f64) * AFFINITY_LOAD_FACTOR + AFFINITY_SLACK;
    let key = prefix.to_le_bytes();
    open.iter()
        .max_by_key(|candidate| rendezvous_score(&key, candidate.backend.name.0.as_bytes()))
        .filter(|candidate| candidate.load(zone) <= bound)
        .copied()
}

fn lighter_of_two<'a>(open: &[&'a Candidate], random: &mut SmallRng, zone: &str) -> &'a Candidate {
    let first = random.random_range(0..open.len());
    if open.len() == 1 {
        return open[first];
    }
    let offset = random.random_range(1..open.len());
    let second = (first + offset) % open.len();
    if open[second].load(zone) < open[first].load(zone) {
        open[second]
    } else {
        open[first]
    }
}

//! Which server of a service gets the next request, from what this daemon sees of them.
//!
//! No server is probed: latencies, refusals and failures of real requests decide. What is known of
//! a server fades, so that one that was slow is tried again.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use heronbend::Moment;
use rand::Rng;

use crate::directory::Server;

/// Weight of a new sample in a server's mean latency.
const SAMPLE_WEIGHT: f64 = 0.3;
/// Time after which half of the difference to the fastest server is forgotten.
const FADE: Duration = Duration::from_secs(3);
/// Added to a server of another zone, in milliseconds.
const OTHER_ZONE_MILLIS: f64 = 2.0;
/// Added to a server to which no connection is open, in milliseconds: some less than the spread of
/// the draw among equals, so that connections are used again and other servers still tried at times.
/// Platforms state some 1 ms for a new connection.
const CONNECT_MILLIS: f64 = 0.8;
/// Assumed where nothing is known of any server, in milliseconds.
const UNKNOWN_MILLIS: f64 = 20.0;
const REFUSED_PAUSE: Duration = Duration::from_millis(60);
const FAILED_PAUSE: Duration = Duration::from_millis(250);
const LONGEST_PAUSE: Duration = Duration::from_secs(3);
/// Failures in a row from which on a server is avoided; a single lost answer says little.
const FAILURES_TO_AVOID: u32 = 2;

/// How much a server's queue grows with its load: a full one takes twice as long.
const QUEUE_CROWDING: f64 = 1.0;

/// How an attempt at a server ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptEnd {
    /// It answered after so long.
    Answered(Duration),
    /// It refused without running the request.
    Refused,
    /// It could not be reached at all.
    Unreachable,
    /// It broke off, or did not answer in time.
    Failed,
    /// The attempt was given up for other reasons.
    Abandoned,
}

#[derive(Debug, Clone, Default)]
struct Load {
    in_flight: u32,
    mean_millis: Option<f64>,
    sampled: Moment,
    failures: u32,
    avoid_until: Moment,
}

/// What this daemon knows of each server's load and health.
#[derive(Debug, Default)]
pub struct Balancer {
    loads: HashMap<String, Load>,
}

impl Balancer {
    /// Requests that this daemon has under way at a server.
    pub fn in_flight(&self, id: &str) -> u32 {
        self.loads.get(id).map_or(0, |load| load.in_flight)
    }

    /// Whether a server is being avoided.
    pub fn is_avoided(&self, now: Moment, id: &str) -> bool {
        self.loads.get(id).is_some_and(|load| load.avoid_until > now)
    }

    /// The best of `candidates` that is not in `tried`; one that is avoided only if all are.
    pub fn choose(
        &self,
        now: Moment,
        candidates: &[Rc<Server>],
        tried: &[String],
        zone: &str,
    ) -> Option<Rc<Server>> {
        self.choose_crowded(now, candidates, tried, zone, QUEUE_CROWDING)
    }

    /// The same, where a server that `is_connected` has a connection open costs less.
    pub fn choose_connected(
        &self,
        now: Moment,
        candidates: &[Rc<Server>],
        tried: &[String],
        zone: &str,
        is_connected: impl Fn(&Server) -> bool,
    ) -> Option<Rc<Server>> {
        self.choose_costed(now, candidates, tried, |server, best| {
            let connecting = if is_connected(server) { 0.0 } else { CONNECT_MILLIS };
            self.cost(now, server, zone, best, QUEUE_CROWDING) + connecting
        })
    }

    /// The same for servers that a full house slows by `crowding`, as a share of their idle time.
    pub fn choose_crowded(
        &self,
        now: Moment,
        candidates: &[Rc<Server>],
        tried: &[String],
        zone: &str,
        crowding: f64,
    ) -> Option<Rc<Server>> {
        self.choose_costed(now, candidates, tried, |server, best| {
            self.cost(now, server, zone, best, crowding)
        })
    }

    /// The cheapest of `candidates` that is not in `tried`; `cost` gets the mean time of the fastest.
    fn choose_costed(
        &self,
        now: Moment,
        candidates: &[Rc<Server>],
        tried: &[String],
        cost: impl Fn(&Server, f64) -> f64,
    ) -> Option<Rc<Server>> {
        let untried = candidates.iter().filter(|server| !tried.contains(&server.id));
        let best = self.best_millis(candidates);
        let mut random = rand::rng();
        untried
            .map(|server| {
                let jitter = random.random::<f64>();
                (self.is_avoided(now, &server.id), cost(server, best) + jitter, server)
            })
            .min_by(|left, right| left.0.cmp(&right.0).then(left.1.total_cmp(&right.1)))
            .map(|(_, _, server)| server.clone())
    }

    /// Mean time of the fastest of some servers, in milliseconds.
    fn best_millis(&self, candidates: &[Rc<Server>]) -> f64 {
        let known = candidates.iter().filter_map(|server| self.loads.get(&server.id)?.mean_millis);
        known.reduce(f64::min).unwrap_or(UNKNOWN_MILLIS)
    }

    /// Mean time of a server, in milliseconds. What is known of it fades towards `best`, the mean of
    /// the fastest one.
    fn faded_millis(&self, now: Moment, id: &str, best: f64) -> f64 {
        let Some(load) = self.loads.get(id) else {
            return best;
        };
        let age = now.saturating_sub(load.sampled).as_secs_f64();
        let kept = 0.5_f64.powf(age / FADE.as_secs_f64());
        let known = load.mean_millis.unwrap_or(best);
        best + (known - best) * kept
    }

    /// Expected time of one more request, in milliseconds.
    fn cost(&self, now: Moment, server: &Server, zone: &str, best: f64, crowding: f64) -> f64 {
        let distance = if server.zone == zone { 0.0 } else { OTHER_ZONE_MILLIS };
        let mean = self.faded_millis(now, &server.id, best);
        let occupied = f64::from(self.in_flight(&server.id)) / f64::from(server.slots.max(1));
        mean.max(1.0) * (1.0 + crowding * occupied) + distance
    }

    /// Notes that a request is being sent.
    pub fn started(&mut self, id: &str) {
        self.loads.entry(id.to_owned()).or_default().in_flight += 1;
    }

    /// Notes how a request ended.
    pub fn finished(&mut self, now: Moment, id: &str, end: AttemptEnd) {
        let load = self.loads.entry(id.to_owned()).or_default();
        load.in_flight = load.in_flight.saturating_sub(1);
        self.note(now, id, end);
    }

    /// Notes an outcome without an attempt ending.
    pub fn note(&mut self, now: Moment, id: &str, end: AttemptEnd) {
        let load = self.loads.entry(id.to_owned()).or_default();
        match end {
            AttemptEnd::Answered(latency) => {
                let millis = latency.as_secs_f64() * 1e3;
                let old = load.mean_millis.unwrap_or(millis);
                load.mean_millis = Some(old + (millis - old) * SAMPLE_WEIGHT);
                load.sampled = now;
                load.failures = 0;
                load.avoid_until = Moment::ZERO;
            }
            AttemptEnd::Refused => load.avoid_until = now + REFUSED_PAUSE,
            AttemptEnd::Unreachable => load.fail(now, FAILURES_TO_AVOID),
            AttemptEnd::Failed => load.fail(now, 1),
            AttemptEnd::Abandoned => {}
        }
    }

    /// Expected latency of a server's answers, or of the events of its streams, beside `peers`;
    /// nothing where no latency of any of them is known.
    pub fn expected_latency(
        &self,
        now: Moment,
        id: &str,
        peers: &[Rc<Server>],
    ) -> Option<Duration> {
        let is_known = peers
            .iter()
            .any(|peer| self.loads.get(&peer.id).is_some_and(|load| load.mean_millis.is_some()));
        let millis = self.faded_millis(now, id, self.best_millis(peers));
        is_known.then(|| Duration::from_secs_f64(millis / 1e3))
    }

    /// Forgets servers that are neither listed nor in use.
    pub fn forget_except(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.loads.retain(|id, load| load.in_flight > 0 || is_listed(id));
    }
}

impl Load {
    fn fail(&mut self, now: Moment, weight: u32) {
        self.failures += weight;
        if self.failures >= FAILURES_TO_AVOID {
            let doublings = (self.failures - FAILURES_TO_AVOID).min(5);
            self.avoid_until = now + (FAILED_PAUSE * 2_u32.pow(doublings)).min(LONGEST_PAUSE);
        }
    }
}

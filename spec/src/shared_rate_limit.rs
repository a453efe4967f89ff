//! A rate limit that daemons share by issuing permits: issuers are killed, partitioned or slow to
//! detect failures, and permits are used late.
//!
//! A requester may ask any daemon, since its view of the membership may be arbitrarily wrong.
//! Responses may take any time or never arrive. A tick is a quarter of the accounting period; a
//! permit is valid for less than a tick.
//!
//! Invariant: within a window, no more permits are used than two issuers may issue.

use std::time::Duration;

use heronbend::identity::NodeName;
use heronbend::rate_limit::MembershipView;
use heronbend::rate_limit::PermitIssuer;
use heronbend::rate_limit::RateLimit;
use heronbend::rate_limit::Refusal;
use heronbend::rate_limit::ACCOUNTING_PERIOD;
use heronbend::Moment;

use crate::explore::System;

const KEY: &str = "key";
const RATE_LIMIT: RateLimit = RateLimit { per_window: 1 };
/// Permits that may be used within a window: those of two issuers.
const MAX_USED_PER_WINDOW: usize = 2;
/// Ticks in the accounting period, after which issued permits no longer count.
const ACCOUNTING_TICKS: u32 = 4;
/// Ticks within one window.
const WINDOW_TICKS: u32 = 3;
/// Uptime of the daemons at tick 0, past the startup period.
const START_TIME: Duration = Duration::from_secs(60);

/// A guard of the protocol that is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// The unmodified protocol.
    None,
    /// A new issuer does not wait for the permits of its predecessor to expire.
    SkipsTakeoverWait,
    /// A minority partition issues permits.
    MinorityIssues,
    /// The validity of a permit is counted from the response.
    CountsFromResponse,
}

/// The system and its bounds.
#[derive(Debug, Clone, Copy)]
pub struct SharedRateLimit {
    /// Number of daemons.
    pub daemons: usize,
    /// Ticks in total.
    pub ticks: u32,
    /// Killed daemons in total.
    pub kills: u8,
    /// Daemons that are isolated from all others, in total.
    pub isolations: u8,
    /// Permit requests in total.
    pub requests: u8,
    /// The removed guard.
    pub mutation: Mutation,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Daemon {
    view: MembershipView,
    issuer: PermitIssuer,
    is_dead: bool,
    /// Daemons that it considers alive.
    alive: Vec<usize>,
}

/// A global state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    tick: u32,
    daemons: Vec<Daemon>,
    /// Request ticks of permits that were issued and not yet used.
    issued: Vec<u32>,
    /// Ticks at which permits were used.
    used: Vec<u32>,
    kills: u8,
    isolations: u8,
    requests: u8,
}

fn name(index: usize) -> NodeName {
    NodeName(format!("n{index}"))
}

fn at(tick: u32) -> Moment {
    START_TIME + ACCOUNTING_PERIOD / ACCOUNTING_TICKS * tick
}

impl Daemon {
    fn update_view(&mut self, now: Moment, alive: Vec<usize>) {
        self.view.update(now, alive.iter().copied().map(name).collect(), &[]);
        self.alive = alive;
    }
}

impl SharedRateLimit {
    /// A daemon is asked for a permit and may issue one.
    fn request_permit(&self, state: &State, issuer: usize) -> Option<State> {
        let requests = state.requests.checked_sub(1)?;
        let daemon = state.daemons.get(issuer).filter(|daemon| !daemon.is_dead)?;
        let now = at(state.tick);
        match daemon.view.may_issue(now, KEY) {
            Ok(()) => {}
            Err(Refusal::TakeoverPending(_)) if self.mutation == Mutation::SkipsTakeoverWait => {}
            Err(Refusal::Minority) if self.mutation == Mutation::MinorityIssues => {}
            Err(_) => return None,
        }
        let mut next = state.clone();
        next.requests = requests;
        let grant = next.daemons[issuer].issuer.issue(now, KEY, 1, RATE_LIMIT);
        if grant.permits == 0 {
            return None;
        }
        next.issued.push(state.tick);
        Some(next)
    }

    /// A requester uses a permit if it is still valid.
    fn use_permit(&self, state: &State, index: usize) -> Option<State> {
        let is_valid = state.issued[index] == state.tick;
        if !is_valid && self.mutation != Mutation::CountsFromResponse {
            return None;
        }
        let mut next = state.clone();
        next.issued.remove(index);
        next.used.push(state.tick);
        Some(next)
    }

    fn tick(&self, state: &State) -> Option<State> {
        if state.tick >= self.ticks {
            return None;
        }
        let mut next = state.clone();
        next.tick += 1;
        let oldest = (next.tick + 1).saturating_sub(WINDOW_TICKS);
        next.used.retain(|used| *used >= oldest);
        if self.mutation != Mutation::CountsFromResponse {
            next.issued.clear();
        }
        Some(next)
    }

    fn kill(&self, state: &State, index: usize) -> Option<State> {
        if state.daemons[index].is_dead {
            return None;
        }
        let mut next = state.clone();
        next.kills = state.kills.checked_sub(1)?;
        next.daemons[index].is_dead = true;
        Some(next)
    }

    /// A daemon detects the failure of another one.
    fn detect_failure(&self, state: &State, index: usize, failed: usize) -> Option<State> {
        let daemon = &state.daemons[index];
        if daemon.is_dead || !state.daemons[failed].is_dead || !daemon.alive.contains(&failed) {
            return None;
        }
        let mut next = state.clone();
        let alive = daemon.alive.iter().copied().filter(|other| *other != failed).collect();
        next.daemons[index].update_view(at(state.tick), alive);
        Some(next)
    }

    /// A daemon is isolated from all others.
    fn isolate(&self, state: &State, index: usize) -> Option<State> {
        let daemon = &state.daemons[index];
        if daemon.is_dead || daemon.alive.is_empty() {
            return None;
        }
        let mut next = state.clone();
        next.isolations = state.isolations.checked_sub(1)?;
        next.daemons[index].update_view(at(state.tick), Vec::new());
        Some(next)
    }
}

impl System for SharedRateLimit {
    type State = State;

    fn initial_state(&self) -> State {
        let daemon = |index| {
            let alive: Vec<usize> = (0..self.daemons).filter(|other| *other != index).collect();
            let mut view = MembershipView::new(name(index), Moment::ZERO);
            view.update(Moment::ZERO, alive.iter().copied().map(name).collect(), &[]);
            Daemon { view, issuer: PermitIssuer::default(), is_dead: false, alive }
        };
        State {
            tick: 0,
            daemons: (0..self.daemons).map(daemon).collect(),
            issued: Vec::new(),
            used: Vec::new(),
            kills: self.kills,
            isolations: self.isolations,
            requests: self.requests,
        }
    }

    fn successors(&self, state: &State) -> Vec<(State, String)> {
        let mut next = Vec::new();
        next.extend(self.tick(state).map(|state| (state, "time advances".to_owned())));
        for index in 0..state.issued.len() {
            let used = self.use_permit(state, index);
            next.extend(used.map(|state| (state, format!("permit {index} is used"))));
        }
        for index in 0..self.daemons {
            let actions = [
                (self.request_permit(state, index), "issues a permit"),
                (self.kill(state, index), "is killed"),
                (self.isolate(state, index), "is isolated"),
            ];
            for (successor, description) in actions {
                next.extend(
                    successor.map(|state| (state, format!("daemon {index} {description}"))),
                );
            }
            for failed in 0..self.daemons {
                let detected = self.detect_failure(state, index, failed);
                let event = format!("daemon {index} detects the failure of {failed}");
                next.extend(detected.map(|state| (state, event)));
            }
        }
        next
    }

    fn violated_invariant(&self, state: &State) -> Option<&'static str> {
        (state.used.len() > MAX_USED_PER_WINDOW)
            .then_some("more permits are used in a window than two issuers may issue")
    }
}

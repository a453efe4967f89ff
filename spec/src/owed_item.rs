//! An accepted item under which servers crash, and whose job changes owners. The delays are those
//! of [`Pace`]; time passes in ticks of one second.
//!
//! The service has free servers all the time: an item that may be sent is sent within the tick.
//!
//! Invariant: the item is at no server for at most 5 s at a time, so that it is placed in the end
//! however often its servers crashed.

use std::time::Duration;

use heronbend::quarantine::Limits;
use heronbend::rollout::pace::Pace;

use crate::explore::System;

/// Longest time that an item may be at no server, in ticks.
const MAX_UNPLACED: u64 = 5;
const TICK: Duration = Duration::from_secs(1);

/// A guard of the protocol that is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// The unmodified protocol.
    None,
    /// Crashes are held against the item as against a call.
    Quarantines,
    /// The delay grows without a bound.
    GrowsForever,
    /// An attempt that no server ran is delayed like one that lost its server.
    DelaysRejections,
}

/// The system and its bounds.
#[derive(Debug, Clone, Copy)]
pub struct OwedItem {
    /// Servers that crash under the item in total.
    pub crashes: u8,
    /// Attempts that servers reject without running them in total.
    pub rejections: u8,
    /// Changes of the job's owner in total.
    pub takeovers: u8,
    /// The removed guard.
    pub mutation: Mutation,
}

/// A global state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    pace: Pace,
    is_running: bool,
    is_done: bool,
    /// Ticks until the item may be sent.
    wait: u64,
    /// Ticks since the item left its last server.
    unplaced: u64,
    /// Crashes that all daemons know of.
    known_crashes: u8,
    crashes: u8,
    rejections: u8,
    takeovers: u8,
}

impl OwedItem {
    fn delay(&self, pace: &mut Pace, known_crashes: u8) -> Duration {
        let limits = Limits::default();
        let beyond_threshold = usize::from(known_crashes).checked_sub(limits.crash_threshold);
        match (self.mutation, beyond_threshold) {
            (Mutation::Quarantines, Some(probes)) => {
                limits.probe_delay(probes).unwrap_or(limits.retention)
            }
            (Mutation::GrowsForever, _) => TICK * 2_u32.pow(u32::from(known_crashes)),
            _ => pace.take_delay(),
        }
    }

    fn place(&self, state: &State) -> Option<State> {
        let may_run = !state.is_done && !state.is_running && state.wait == 0;
        may_run.then(|| State { is_running: true, unplaced: 0, ..state.clone() })
    }

    fn finish(&self, state: &State) -> Option<State> {
        state.is_running.then(|| State { is_running: false, is_done: true, ..state.clone() })
    }

    fn crash(&self, state: &State) -> Option<State> {
        if !state.is_running {
            return None;
        }
        let mut next = state.clone();
        next.crashes = state.crashes.checked_sub(1)?;
        next.is_running = false;
        next.known_crashes += 1;
        next.pace.record_loss();
        next.wait = self.delay(&mut next.pace, next.known_crashes).as_secs();
        Some(next)
    }

    fn reject(&self, state: &State) -> Option<State> {
        if state.is_done || state.is_running || state.wait > 0 {
            return None;
        }
        let mut next = state.clone();
        next.rejections = state.rejections.checked_sub(1)?;
        if self.mutation == Mutation::DelaysRejections {
            next.pace.record_loss();
        }
        next.wait = next.pace.take_delay().as_secs();
        Some(next)
    }

    /// The next owner knows the crashes, but not the attempts of the former one.
    fn take_over(&self, state: &State) -> Option<State> {
        if state.is_done {
            return None;
        }
        let mut next = state.clone();
        next.takeovers = state.takeovers.checked_sub(1)?;
        next.is_running = false;
        next.pace = Pace::default();
        if self.mutation == Mutation::None {
            next.wait = 0;
        }
        Some(next)
    }

    fn tick(&self, state: &State) -> Option<State> {
        let is_waiting = !state.is_running && state.wait > 0;
        let wait = state.wait.saturating_sub(1);
        is_waiting.then(|| State { wait, unplaced: state.unplaced + 1, ..state.clone() })
    }
}

impl System for OwedItem {
    type State = State;

    fn initial_state(&self) -> State {
        State {
            pace: Pace::default(),
            is_running: false,
            is_done: false,
            wait: 0,
            unplaced: 0,
            known_crashes: 0,
            crashes: self.crashes,
            rejections: self.rejections,
            takeovers: self.takeovers,
        }
    }

    fn successors(&self, state: &State) -> Vec<(State, String)> {
        let actions = [
            (self.place(state), "a server takes the item"),
            (self.finish(state), "the item is done"),
            (self.crash(state), "the server crashes"),
            (self.reject(state), "a server rejects the item"),
            (self.take_over(state), "another daemon takes the job over"),
            (self.tick(state), "a second passes"),
        ];
        let enabled = actions.into_iter();
        enabled.filter_map(|(next, event)| Some((next?, event.to_owned()))).collect()
    }

    fn violated_invariant(&self, state: &State) -> Option<&'static str> {
        (state.unplaced > MAX_UNPLACED).then_some("the item is at no server for too long")
    }
}

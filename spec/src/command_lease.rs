//! The lease under which a daemon sends commands to engines: two daemons, a store, and writes that
//! are delayed or lost.
//!
//! Time passes in ticks. A write may be executed at any later time or never, and so may its
//! response be delivered. A daemon may send a command whenever its hold on the lease allows it, and
//! may restart, which loses its state.
//!
//! Invariants: commands of two daemons are at least the takeover pause apart, and the later one has
//! a higher fencing token.

use std::time::Duration;

use heronbend::identity::NodeName;
use heronbend_gateway::versions::lease::{LeaseHold, LeaseRecord};

use crate::explore::System;

/// Duration of a tick.
const TICK: Duration = Duration::from_millis(750);
/// Pause between two holders, in ticks.
const PAUSE_TICKS: u32 = 1;

/// A guard of the protocol that is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// The unmodified protocol.
    None,
    /// A new holder acts without waiting for the pause.
    SkipsTakeoverPause,
    /// The lease is counted from the response to a renewal instead of from its sending.
    CountsFromResponse,
    /// A restarted daemon treats a record with its name as a settled lease.
    TrustsLeaseAfterRestart,
    /// The store replaces the record regardless of its revision.
    UnconditionalWrites,
    /// Renewals do not change the record, so several of them share one revision.
    ConstantRenewalCounter,
}

/// Bounds of an exploration.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Ticks in total.
    pub ticks: u32,
    /// Writes in total.
    pub writes: u8,
    /// Restarts in total.
    pub restarts: u8,
}

/// The system, its bounds and its mutation.
#[derive(Debug, Clone, Copy)]
pub struct CommandLease {
    /// Bounds of the exploration.
    pub bounds: Bounds,
    /// The removed guard.
    pub mutation: Mutation,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Write {
    daemon: usize,
    /// Run of the sending daemon.
    run: u8,
    expected_revision: Option<u64>,
    record: LeaseRecord,
    sent_at: u32,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Response {
    write: Write,
    /// Revision of the stored object after the write.
    revision: u64,
    record: LeaseRecord,
    is_applied: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Command {
    daemon: usize,
    at: u32,
    token: u64,
}

/// A global state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    now: u32,
    object: Option<(u64, LeaseRecord)>,
    holds: Vec<LeaseHold>,
    runs: Vec<u8>,
    writes: Vec<Write>,
    responses: Vec<Response>,
    writes_left: u8,
    restarts_left: u8,
    last_command: Option<Command>,
    violation: Option<&'static str>,
}

fn name(daemon: usize) -> NodeName {
    NodeName(format!("daemon-{daemon}"))
}

fn new_hold(daemon: usize) -> LeaseHold {
    LeaseHold::new(name(daemon), TICK * PAUSE_TICKS)
}

impl State {
    fn time(&self) -> Duration {
        TICK * self.now
    }

    /// Sorts the messages, whose order is irrelevant.
    fn sorted(mut self) -> Self {
        self.writes
            .sort_by_key(|write| (write.daemon, write.run, write.expected_revision, write.sent_at));
        self.responses.sort_by_key(|response| {
            let write = &response.write;
            (write.daemon, write.run, write.sent_at, response.revision, response.is_applied)
        });
        self
    }
}

impl CommandLease {
    fn send_renewal(&self, state: &State, daemon: usize) -> Option<State> {
        let is_waiting = state.holds[daemon].waits_until(state.time()).is_some();
        if state.writes_left == 0 || is_waiting {
            return None;
        }
        let mut next = state.clone();
        next.writes_left -= 1;
        let mut record = state.holds[daemon].next_record(state.time());
        if self.mutation == Mutation::ConstantRenewalCounter {
            record.renewals = 0;
        }
        next.writes.push(Write {
            daemon,
            run: state.runs[daemon],
            expected_revision: state.holds[daemon].revision(),
            record,
            sent_at: state.now,
        });
        Some(next)
    }

    fn execute_write(&self, state: &State, index: usize) -> State {
        let mut next = state.clone();
        let write = next.writes.remove(index);
        let current_revision = next.object.as_ref().map(|(revision, _)| *revision);
        let is_applied = current_revision == write.expected_revision
            || self.mutation == Mutation::UnconditionalWrites;
        if is_applied {
            let is_unchanged =
                next.object.as_ref().is_some_and(|(_, record)| *record == write.record);
            if !is_unchanged {
                let revision = current_revision.unwrap_or(0) + 1;
                next.object = Some((revision, write.record.clone()));
            }
        }
        if let Some((revision, record)) = next.object.clone() {
            next.responses.push(Response { write, revision, record, is_applied });
        }
        next
    }

    fn deliver_response(&self, state: &State, index: usize) -> State {
        let mut next = state.clone();
        let response = next.responses.remove(index);
        let daemon = response.write.daemon;
        if response.write.run != next.runs[daemon] {
            return next;
        }
        let now = next.time();
        let hold = &mut next.holds[daemon];
        if response.is_applied {
            let mut record = response.write.record;
            record.settled |= self.mutation == Mutation::SkipsTakeoverPause;
            let counts_from_response = self.mutation == Mutation::CountsFromResponse;
            let sent_at = if counts_from_response { now } else { TICK * response.write.sent_at };
            hold.renewed(response.revision, record, sent_at, now);
        } else {
            hold.observed(response.revision, response.record, now);
        }
        next
    }

    fn read_record(&self, state: &State, daemon: usize) -> Option<State> {
        let (revision, mut record) = state.object.clone()?;
        let mut next = state.clone();
        record.settled |= self.mutation == Mutation::TrustsLeaseAfterRestart;
        next.holds[daemon].observed(revision, record, state.time());
        (next != *state).then_some(next)
    }

    fn send_command(&self, state: &State, daemon: usize) -> Option<State> {
        let token = state.holds[daemon].token(state.time())?;
        let mut next = state.clone();
        if let Some(last) = state.last_command.filter(|last| last.daemon != daemon) {
            if state.now < last.at + PAUSE_TICKS {
                next.violation = Some("two holders act within the pause");
            } else if token <= last.token {
                next.violation = Some("a later holder has no higher token");
            }
        }
        next.last_command = Some(Command { daemon, at: state.now, token });
        Some(next)
    }

    fn restart(&self, state: &State, daemon: usize) -> Option<State> {
        let mut next = state.clone();
        next.restarts_left = next.restarts_left.checked_sub(1)?;
        next.holds[daemon] = new_hold(daemon);
        next.runs[daemon] += 1;
        Some(next)
    }
}

impl System for CommandLease {
    type State = State;

    fn initial_state(&self) -> State {
        State {
            now: 0,
            object: None,
            holds: vec![new_hold(0), new_hold(1)],
            runs: vec![0, 0],
            writes: Vec::new(),
            responses: Vec::new(),
            writes_left: self.bounds.writes,
            restarts_left: self.bounds.restarts,
            last_command: None,
            violation: None,
        }
    }

    fn successors(&self, state: &State) -> Vec<(State, String)> {
        let mut next = Vec::new();
        if state.now < self.bounds.ticks {
            let mut advanced = state.clone();
            advanced.now += 1;
            next.push((advanced, format!("time advances to {}", state.now + 1)));
        }
        for index in 0..state.writes.len() {
            next.push((self.execute_write(state, index), format!("write {index} is executed")));
        }
        for index in 0..state.responses.len() {
            next.push((self.deliver_response(state, index), format!("response {index} arrives")));
        }
        for daemon in 0..state.holds.len() {
            let actions = [
                (self.send_renewal(state, daemon), "sends a renewal"),
                (self.read_record(state, daemon), "reads the record"),
                (self.send_command(state, daemon), "sends a command"),
                (self.restart(state, daemon), "restarts"),
            ];
            for (successor, description) in actions {
                next.extend(
                    successor
                        .map(|successor| (successor, format!("daemon {daemon} {description}"))),
                );
            }
        }
        next.into_iter().map(|(state, event)| (state.sorted(), event)).collect()
    }

    fn violated_invariant(&self, state: &State) -> Option<&'static str> {
        state.violation
    }
}

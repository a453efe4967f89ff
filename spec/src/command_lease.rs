//! The lease for orders: two daemons, a store, writes that are slow, lost or late, and restarts.
//!
//! Time passes in ticks. A write that was sent may be executed at any later time or never, and its
//! answer may arrive at any later time or never. A daemon may act at any time at which its hold
//! says that it may, and may restart, upon which it knows nothing.
//!
//! Invariants: between orders of two daemons lies the pause, and the later one has the higher
//! fencing token.

use std::time::Duration;

use heronbend::identity::NodeName;
use heronbend_gateway::versions::lease::{LeaseHold, LeaseRecord};

use crate::explore::System;

/// Length of a tick.
const TICK: Duration = Duration::from_millis(750);
/// The pause between two holders.
const PAUSE_TICKS: u32 = 1;

/// A guard that is taken out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// None.
    None,
    /// A daemon that takes the lease over acts at once.
    NoPause,
    /// The right to act counts from the answer to a renewal instead of from its sending.
    CountsFromAnswer,
    /// A restarted process takes its machine's name for a settled lease.
    RestartSettles,
    /// The store replaces the record whatever its revision.
    Unconditional,
    /// Renewals write the same again, which is no change: one revision stands for several of them.
    SameRenewals,
}

/// Bounds of an exploration.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Ticks that pass.
    pub ticks: u32,
    /// Writes that are sent in all.
    pub writes: u8,
    /// Restarts in all.
    pub restarts: u8,
}

/// The system.
#[derive(Debug, Clone, Copy)]
pub struct OrderLease {
    /// Bounds.
    pub bounds: Bounds,
    /// The guard that is taken out.
    pub mutation: Mutation,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Write {
    daemon: usize,
    /// Of the daemon's process that sent it.
    run: u8,
    condition: Option<u64>,
    record: LeaseRecord,
    sent: u32,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Answer {
    write: Write,
    /// The object that the store holds, and whether the write was done.
    revision: u64,
    record: LeaseRecord,
    done: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Order {
    daemon: usize,
    at: u32,
    token: u64,
}

/// A state of the system.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    now: u32,
    object: Option<(u64, LeaseRecord)>,
    holds: Vec<LeaseHold>,
    runs: Vec<u8>,
    writes: Vec<Write>,
    answers: Vec<Answer>,
    writes_left: u8,
    restarts_left: u8,
    last_order: Option<Order>,
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

    /// Messages are a set: the order in which they were sent does not matter.
    fn sorted(mut self) -> Self {
        self.writes.sort_by_key(|write| (write.daemon, write.run, write.condition, write.sent));
        self.answers.sort_by_key(|answer| {
            let write = &answer.write;
            (write.daemon, write.run, write.sent, answer.revision, answer.done)
        });
        self
    }
}

impl OrderLease {
    fn send(&self, state: &State, daemon: usize) -> Option<State> {
        let is_waiting = state.holds[daemon].waits_until(state.time()).is_some();
        if state.writes_left == 0 || is_waiting {
            return None;
        }
        let mut next = state.clone();
        next.writes_left -= 1;
        let mut record = state.holds[daemon].next_record(state.time());
        if self.mutation == Mutation::SameRenewals {
            record.renewals = 0;
        }
        next.writes.push(Write {
            daemon,
            run: state.runs[daemon],
            condition: state.holds[daemon].revision(),
            record,
            sent: state.now,
        });
        Some(next)
    }

    fn execute(&self, state: &State, index: usize) -> State {
        let mut next = state.clone();
        let write = next.writes.remove(index);
        let known = next.object.as_ref().map(|(revision, _)| *revision);
        let done = known == write.condition || self.mutation == Mutation::Unconditional;
        if done {
            let is_same = next.object.as_ref().is_some_and(|(_, record)| *record == write.record);
            if !is_same {
                let revision = known.unwrap_or(0) + 1;
                next.object = Some((revision, write.record.clone()));
            }
        }
        if let Some((revision, record)) = next.object.clone() {
            next.answers.push(Answer { write, revision, record, done });
        }
        next
    }

    fn deliver(&self, state: &State, index: usize) -> State {
        let mut next = state.clone();
        let answer = next.answers.remove(index);
        let daemon = answer.write.daemon;
        if answer.write.run != next.runs[daemon] {
            return next;
        }
        let now = next.time();
        let hold = &mut next.holds[daemon];
        if answer.done {
            let mut record = answer.write.record;
            record.settled |= self.mutation == Mutation::NoPause;
            let counts_from_answer = self.mutation == Mutation::CountsFromAnswer;
            let sent = if counts_from_answer { now } else { TICK * answer.write.sent };
            hold.renewed(answer.revision, record, sent, now);
        } else {
            hold.observed(answer.revision, answer.record, now);
        }
        next
    }

    fn read(&self, state: &State, daemon: usize) -> Option<State> {
        let (revision, mut record) = state.object.clone()?;
        let mut next = state.clone();
        record.settled |= self.mutation == Mutation::RestartSettles;
        next.holds[daemon].observed(revision, record, state.time());
        (next != *state).then_some(next)
    }

    fn act(&self, state: &State, daemon: usize) -> Option<State> {
        let token = state.holds[daemon].token(state.time())?;
        let mut next = state.clone();
        if let Some(last) = state.last_order.filter(|last| last.daemon != daemon) {
            if state.now < last.at + PAUSE_TICKS {
                next.violation = Some("two holders act within the pause");
            } else if token <= last.token {
                next.violation = Some("a later holder has no higher token");
            }
        }
        next.last_order = Some(Order { daemon, at: state.now, token });
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

impl System for OrderLease {
    type State = State;

    fn start(&self) -> State {
        State {
            now: 0,
            object: None,
            holds: vec![new_hold(0), new_hold(1)],
            runs: vec![0, 0],
            writes: Vec::new(),
            answers: Vec::new(),
            writes_left: self.bounds.writes,
            restarts_left: self.bounds.restarts,
            last_order: None,
            violation: None,
        }
    }

    fn successors(&self, state: &State) -> Vec<(State, String)> {
        let mut next = Vec::new();
        if state.now < self.bounds.ticks {
            let mut later = state.clone();
            later.now += 1;
            next.push((later, format!("time passes to {}", state.now + 1)));
        }
        for index in 0..state.writes.len() {
            next.push((self.execute(state, index), format!("write {index} is executed")));
        }
        for index in 0..state.answers.len() {
            next.push((self.deliver(state, index), format!("answer {index} arrives")));
        }
        for daemon in 0..state.holds.len() {
            let steps = [
                (self.send(state, daemon), "sends a renewal"),
                (self.read(state, daemon), "reads the record"),
                (self.act(state, daemon), "gives an order"),
                (self.restart(state, daemon), "restarts"),
            ];
            for (step, what) in steps {
                next.extend(step.map(|step| (step, format!("daemon {daemon} {what}"))));
            }
        }
        next.into_iter().map(|(state, event)| (state.sorted(), event)).collect()
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        state.violation
    }
}

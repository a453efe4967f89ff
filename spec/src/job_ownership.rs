//! The ownership of a batch job: daemons that take the job over from each other, a store, writes
//! that are executed late or without a response, wrong suspicions, crashes and restarts.
//!
//! Invariants: the owner's view of the result log holds every result that the store has; and once
//! disruptions are over, the job runs at its owner after a few periodic passes of the daemons,
//! without a list of all ownerships.

use heronbend_gateway::batch::tenure::AdoptionOutcome;
use heronbend_gateway::batch::tenure::InitialLog;
use heronbend_gateway::batch::tenure::Tenure;

use crate::explore::System;

/// A guard of the protocol that is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// The unmodified protocol.
    None,
    /// Only an acknowledged adoption starts the job.
    IgnoresOwnConflict,
    /// An adoption of unknown outcome is not repeated.
    ForgetsDoubt,
    /// A job that was once submitted to a daemon starts there with an empty log each time.
    KeepsEmptyLog,
}

/// The system and its bounds.
#[derive(Debug, Clone, Copy)]
pub struct JobOwnership {
    /// Daemons.
    pub daemons: usize,
    /// Adoptions in total, not counting repetitions and those after the disruptions.
    pub adoptions: u8,
    /// Crashes and restarts in total.
    pub crashes: u8,
    /// Responses that are lost or late in total.
    pub lost_responses: u8,
    /// Results that are committed in total.
    pub results: u8,
    /// The removed guard.
    pub mutation: Mutation,
}

/// A process of a daemon: index of the daemon and number of its run.
type Process = (usize, u8);

/// The stored ownership, or what a daemon knows of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Ownership {
    owner: Process,
    revision: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Daemon {
    run: u8,
    is_alive: bool,
    known: Ownership,
    tenure: Tenure,
    /// Whether the job was submitted to this process.
    was_submitted: bool,
    /// Results in the daemon's view of the log.
    log: u8,
}

/// A write that makes its writer the owner, in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Write {
    writer: Process,
    /// Revision that it replaces.
    condition: u64,
    /// Whether the writer waits for the response.
    is_awaited: bool,
}

/// A global state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    stored: Ownership,
    results: u8,
    daemons: Vec<Daemon>,
    writes: Vec<Write>,
    adoptions_left: u8,
    crashes_left: u8,
    lost_responses_left: u8,
}

impl State {
    fn process_of(&self, daemon: usize) -> Process {
        (daemon, self.daemons[daemon].run)
    }

    fn awaits(&self, daemon: usize) -> bool {
        self.writes.iter().any(|write| write.writer == self.process_of(daemon) && write.is_awaited)
    }

    fn is_alive(&self, (daemon, run): Process) -> bool {
        self.daemons[daemon].is_alive && self.daemons[daemon].run == run
    }

    /// Whether the stored owner runs the job under the stored ownership.
    fn runs(&self) -> bool {
        let owner = &self.daemons[self.stored.owner.0];
        self.is_alive(self.stored.owner) && owner.tenure.runs_under(self.stored.revision)
    }
}

impl JobOwnership {
    /// A daemon learns the stored ownership, which may end its run.
    fn learn(state: &mut State, daemon: usize) {
        let stored = state.stored;
        let view = &mut state.daemons[daemon];
        view.known = stored;
        if view.tenure.is_running() && !view.tenure.runs_under(stored.revision) {
            view.tenure.end();
        }
    }

    /// A daemon starts the job if it owns it as far as it knows.
    fn start_owned(&self, state: &mut State, daemon: usize) {
        let process = state.process_of(daemon);
        let results = state.results;
        let view = &mut state.daemons[daemon];
        if view.known.owner != process {
            return;
        }
        if self.mutation == Mutation::KeepsEmptyLog && view.was_submitted {
            view.tenure.submitted(view.known.revision);
        }
        if view.tenure.start(view.known.revision) == Some(InitialLog::Stored) {
            view.log = results;
        }
    }

    /// A daemon receives the response to its adoption, which took effect or not.
    fn receive(&self, state: &mut State, write: Write, is_applied: bool) {
        let daemon = write.writer.0;
        let tenure = &mut state.daemons[daemon].tenure;
        tenure.record_adoption(write.condition, AdoptionOutcome::Answered);
        Self::learn(state, daemon);
        if is_applied || self.mutation != Mutation::IgnoresOwnConflict {
            self.start_owned(state, daemon);
        }
    }

    fn send(&self, state: &State, daemon: usize) -> Option<State> {
        let view = &state.daemons[daemon];
        let process = state.process_of(daemon);
        if !view.is_alive || state.awaits(daemon) || view.known.owner == process {
            return None;
        }
        let mut next = state.clone();
        next.adoptions_left = next.adoptions_left.checked_sub(1)?;
        let condition = view.known.revision;
        next.writes.push(Write { writer: process, condition, is_awaited: true });
        Some(next)
    }

    /// The store executes a write and the writer receives the response, if it waits for it.
    fn execute(&self, state: &State, index: usize) -> State {
        let mut next = state.clone();
        let write = next.writes.remove(index);
        let is_applied = write.condition == state.stored.revision;
        if is_applied {
            next.stored = Ownership { owner: write.writer, revision: write.condition + 1 };
        }
        if write.is_awaited {
            self.receive(&mut next, write, is_applied);
        }
        next
    }

    /// The writer stops waiting for the response; the write may still be executed.
    fn time_out(&self, state: &State, index: usize) -> Option<State> {
        let mut next = state.clone();
        let write = &mut next.writes[index];
        if !std::mem::replace(&mut write.is_awaited, false) {
            return None;
        }
        let (writer, condition) = (write.writer.0, write.condition);
        next.lost_responses_left = next.lost_responses_left.checked_sub(1)?;
        if self.mutation != Mutation::ForgetsDoubt {
            let tenure = &mut next.daemons[writer].tenure;
            tenure.record_adoption(condition, AdoptionOutcome::Unknown);
        }
        Some(next)
    }

    /// A write that nobody waits for is never executed.
    fn drop_write(state: &State, index: usize) -> Option<State> {
        let mut next = state.clone();
        (!next.writes.remove(index).is_awaited).then_some(next)
    }

    /// A daemon reads the stored ownership, or hears of it.
    fn hear(&self, state: &State, daemon: usize) -> Option<State> {
        if !state.daemons[daemon].is_alive {
            return None;
        }
        let mut next = state.clone();
        Self::learn(&mut next, daemon);
        self.start_owned(&mut next, daemon);
        (next != *state).then_some(next)
    }

    /// The owner appends a result to the log.
    fn commit(&self, state: &State) -> Option<State> {
        if !state.runs() || state.results >= self.results {
            return None;
        }
        let mut next = state.clone();
        next.results += 1;
        next.daemons[state.stored.owner.0].log += 1;
        Some(next)
    }

    fn crash(state: &State, daemon: usize) -> Option<State> {
        let mut next = state.clone();
        next.crashes_left = next.crashes_left.checked_sub(1)?;
        let process = state.process_of(daemon);
        if !std::mem::replace(&mut next.daemons[daemon].is_alive, false) {
            return None;
        }
        for write in &mut next.writes {
            write.is_awaited &= write.writer != process;
        }
        Some(next)
    }

    /// A daemon starts again and loads the ownership.
    fn restart(state: &State, daemon: usize) -> Option<State> {
        if state.daemons[daemon].is_alive {
            return None;
        }
        let mut next = state.clone();
        next.daemons[daemon] = Daemon {
            run: state.daemons[daemon].run + 1,
            is_alive: true,
            known: state.stored,
            tenure: Tenure::default(),
            was_submitted: false,
            log: 0,
        };
        Some(next)
    }

    /// One periodic pass of a daemon without disruptions.
    fn pass(&self, state: &mut State, daemon: usize) {
        if !state.daemons[daemon].is_alive {
            return;
        }
        // An owner polls the ownership of the jobs that it runs.
        if state.daemons[daemon].tenure.is_running() {
            Self::learn(state, daemon);
        }
        if self.mutation != Mutation::IgnoresOwnConflict {
            self.start_owned(state, daemon);
        }
        let view = &state.daemons[daemon];
        let known = view.known;
        let is_repeated = view.tenure.is_adoption_in_doubt(known.revision);
        if is_repeated || !state.is_alive(known.owner) {
            let writer = state.process_of(daemon);
            let write = Write { writer, condition: known.revision, is_awaited: true };
            state.writes.push(write);
            *state = self.execute(state, state.writes.len() - 1);
        }
    }

    /// Whether the job runs at its owner after periodic passes without disruptions.
    fn comes_to_run(&self, state: &State) -> bool {
        let mut state = state.clone();
        loop {
            let before = state.clone();
            for daemon in 0..state.daemons.len() {
                self.pass(&mut state, daemon);
            }
            if state == before {
                return state.runs();
            }
        }
    }
}

impl System for JobOwnership {
    type State = State;

    fn initial_state(&self) -> State {
        let stored = Ownership { owner: (0, 0), revision: 1 };
        let daemon = |index: usize| {
            let mut tenure = Tenure::default();
            if index == 0 {
                tenure.submitted(stored.revision);
                tenure.start(stored.revision);
            }
            let was_submitted = index == 0;
            Daemon { run: 0, is_alive: true, known: stored, tenure, was_submitted, log: 0 }
        };
        State {
            stored,
            results: 0,
            daemons: (0..self.daemons).map(daemon).collect(),
            writes: Vec::new(),
            adoptions_left: self.adoptions,
            crashes_left: self.crashes,
            lost_responses_left: self.lost_responses,
        }
    }

    fn successors(&self, state: &State) -> Vec<(State, String)> {
        let mut next = Vec::new();
        for index in 0..state.writes.len() {
            let actions = [
                (Some(self.execute(state, index)), "is executed"),
                (self.time_out(state, index), "times out"),
                (Self::drop_write(state, index), "is lost"),
            ];
            for (successor, description) in actions {
                let described = |state| (state, format!("write {index} {description}"));
                next.extend(successor.map(described));
            }
        }
        for daemon in 0..state.daemons.len() {
            let actions = [
                (self.send(state, daemon), "adopts the job"),
                (self.hear(state, daemon), "learns the ownership"),
                (Self::crash(state, daemon), "crashes"),
                (Self::restart(state, daemon), "restarts"),
            ];
            for (successor, description) in actions {
                let described = |state| (state, format!("daemon {daemon} {description}"));
                next.extend(successor.map(described));
            }
        }
        next.extend(self.commit(state).map(|state| (state, "a result is committed".to_owned())));
        next
    }

    fn violated_invariant(&self, state: &State) -> Option<&'static str> {
        if state.runs() && state.daemons[state.stored.owner.0].log < state.results {
            return Some("the owner's log lacks results");
        }
        let is_any_alive = state.daemons.iter().any(|daemon| daemon.is_alive);
        if state.writes.is_empty() && is_any_alive && !self.comes_to_run(state) {
            return Some("an owned job does not run");
        }
        None
    }
}

//! The result log of a batch job: two daemons that take over the job from each other and may run it
//! concurrently, a store, writes that are lost or delayed, and restarts.
//!
//! Invariants: no item is in two chunks, chunks never change, the results that a daemon shows are a
//! prefix of those in the store, and an owner that serves readers has all results that any daemon
//! has ever shown.

use std::rc::Rc;

use heronbend_gateway::batch::result_log::Chunk;
use heronbend_gateway::batch::{ItemResult, ItemState, ResultLog};

use crate::explore::System;

/// A guard of the protocol that is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// The unmodified protocol.
    None,
    /// The store replaces existing chunks.
    OverwritesChunks,
    /// A write without a response is assumed to have succeeded.
    AssumesWriteSucceeded,
    /// A restarted daemon appends to the log without reading the existing chunks.
    SkipsReadingAfterRestart,
    /// A new owner serves readers without having sealed the log.
    SkipsSealing,
    /// A writer that finds a chunk of another writer continues without checking the owner.
    SkipsOwnerCheck,
    /// An owner serves readers while the outcome of a write is unknown.
    ServesWhileUncertain,
}

/// The system and its bounds.
#[derive(Debug, Clone, Copy)]
pub struct SharedLog {
    /// Items of the job.
    pub items: usize,
    /// Writes in total.
    pub writes: u8,
    /// Restarts in total.
    pub restarts: u8,
    /// Takeovers of the job in total.
    pub takeovers: u8,
    /// Whether the job has an owner. Otherwise both daemons always run it, and only the invariants
    /// that are independent of ownership are checked.
    pub has_ownership: bool,
    /// The removed guard.
    pub mutation: Mutation,
}

/// A process of a daemon: index of the daemon and number of its run.
type Process = (usize, u8);

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct StoredChunk {
    writer: Process,
    results: Vec<Rc<ItemResult>>,
}

/// State of a daemon.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Daemon {
    run: u8,
    log: ResultLog,
    /// Whether the daemon assumes that it owns the job.
    is_running: bool,
    /// Whether the daemon has sealed the log and serves readers.
    is_sealed: bool,
    /// Whether the daemon found a chunk of another writer and has to check the owner.
    must_check_owner: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Write {
    writer: Process,
    chunk: Chunk,
    /// Whether the writer waits for the response.
    is_awaited: bool,
}

/// A global state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    chunks: Vec<StoredChunk>,
    owner: usize,
    daemons: Vec<Daemon>,
    writes: Vec<Write>,
    /// Largest number of results that a reader may have seen.
    max_shown: usize,
    writes_left: u8,
    restarts_left: u8,
    takeovers_left: u8,
    has_ownership: bool,
    violation: Option<&'static str>,
}

/// Returns a daemon's result of an item; results of different daemons differ.
fn result(daemon: usize, item: usize) -> ItemResult {
    ItemResult {
        item: format!("item-{item}"),
        state: ItemState::Done,
        text: format!("by {daemon}"),
        versions: Vec::new(),
        score: None,
    }
}

impl State {
    /// Returns all stored results, in order.
    fn stored_results(&self) -> Vec<Rc<ItemResult>> {
        self.chunks.iter().flat_map(|chunk| chunk.results.iter().cloned()).collect()
    }

    fn process_of(&self, daemon: usize) -> Process {
        (daemon, self.daemons[daemon].run)
    }

    /// Whether a daemon waits for the response to a write.
    fn awaits(&self, daemon: usize) -> bool {
        self.writes.iter().any(|write| write.writer == self.process_of(daemon) && write.is_awaited)
    }

    fn check(mut self) -> Self {
        let stored_results = self.stored_results();
        let mut items: Vec<&str> =
            stored_results.iter().map(|result| result.item.as_str()).collect();
        items.sort_unstable();
        if items.windows(2).any(|pair| pair[0] == pair[1]) {
            self.violation = Some("an item is in two chunks");
        }
        let shows_unstored = |daemon_state: &Daemon| {
            let shown = daemon_state.log.page(0);
            shown.len() > stored_results.len() || stored_results[..shown.len()] != shown[..]
        };
        if self.daemons.iter().any(shows_unstored) {
            self.violation = Some("a daemon shows results that are not in the store");
        }
        let max_len = self.daemons.iter().map(|daemon_state| daemon_state.log.len()).max();
        self.max_shown = self.max_shown.max(max_len.unwrap_or(0));
        let owner = &self.daemons[self.owner];
        // Owners are exempt while they wait for a write, which the write timeout bounds.
        let serves_readers =
            self.has_ownership && owner.is_running && owner.is_sealed && !owner.log.is_in_doubt();
        if serves_readers && !self.awaits(self.owner) && owner.log.len() < self.max_shown {
            self.violation = Some("the owner lacks results that were shown");
        }
        self
    }
}

impl SharedLog {
    /// Whether a writer that finds a chunk of another writer checks the owner.
    fn checks_owner(&self) -> bool {
        self.has_ownership && self.mutation != Mutation::SkipsOwnerCheck
    }

    fn finish(&self, state: &State, daemon: usize, item: usize) -> Option<State> {
        let result = result(daemon, item);
        let daemon_state = &state.daemons[daemon];
        if !daemon_state.is_running || daemon_state.log.has_result(&result.item) {
            return None;
        }
        let mut next = state.clone();
        next.daemons[daemon].log.add(result);
        Some(next)
    }

    fn send(&self, state: &State, daemon: usize) -> Option<State> {
        let mut next = state.clone();
        next.writes_left = next.writes_left.checked_sub(1)?;
        let daemon_state = &mut next.daemons[daemon];
        if !daemon_state.is_running || !daemon_state.is_sealed || daemon_state.must_check_owner {
            return None;
        }
        let chunk = daemon_state.log.start_write()?;
        let writer = state.process_of(daemon);
        next.writes.push(Write { writer, chunk, is_awaited: true });
        Some(next)
    }

    /// The store executes a write; if the writer still waits, the response is received or lost.
    fn execute(&self, state: &State, index: usize, is_acknowledged: bool) -> Option<State> {
        let mut next = state.clone();
        let write = next.writes.remove(index);
        let number = write.chunk.number as usize;
        let stored = StoredChunk { writer: write.writer, results: write.chunk.results.clone() };
        if number >= next.chunks.len() {
            // The writer knew all previous chunks, so there is no gap.
            next.chunks.push(stored);
        } else if self.mutation == Mutation::OverwritesChunks {
            next.chunks[number] = stored;
        }
        if !write.is_awaited {
            return (!is_acknowledged).then(|| next.check());
        }
        let found = next.chunks[number].clone();
        let daemon_state = &mut next.daemons[write.writer.0];
        if is_acknowledged {
            daemon_state.log.commit(write.chunk.number, found.results);
            let is_foreign = found.writer != write.writer;
            daemon_state.must_check_owner |= is_foreign && self.checks_owner();
        } else {
            Self::lose_response(self.mutation, &mut daemon_state.log, &write.chunk);
        }
        Some(next.check())
    }

    fn lose_response(mutation: Mutation, log: &mut ResultLog, chunk: &Chunk) {
        if mutation == Mutation::AssumesWriteSucceeded {
            log.commit(chunk.number, chunk.results.clone());
        } else {
            log.write_failed(mutation != Mutation::ServesWhileUncertain);
        }
    }

    /// A write times out at the writer; it may still be executed.
    fn time_out(&self, state: &State, index: usize) -> Option<State> {
        if !state.writes[index].is_awaited {
            return None;
        }
        let mut next = state.clone();
        next.writes[index].is_awaited = false;
        let Write { writer, chunk, .. } = next.writes[index].clone();
        Self::lose_response(self.mutation, &mut next.daemons[writer.0].log, &chunk);
        Some(next.check())
    }

    fn read(&self, state: &State, daemon: usize) -> Option<State> {
        if state.awaits(daemon) {
            return None;
        }
        let mut next = state.clone();
        let process = state.process_of(daemon);
        let daemon_state = &mut next.daemons[daemon];
        for (number, chunk) in state.chunks.iter().enumerate() {
            let is_new = number as u32 >= daemon_state.log.chunks();
            daemon_state.must_check_owner |=
                is_new && chunk.writer != process && self.checks_owner();
            daemon_state.log.commit(number as u32, chunk.results.clone());
        }
        (next != *state).then(|| next.check())
    }

    /// A daemon becomes the owner.
    fn take_over(&self, state: &State, daemon: usize) -> Option<State> {
        if state.awaits(daemon) || (state.owner == daemon && state.daemons[daemon].is_running) {
            return None;
        }
        let mut next = state.clone();
        next.takeovers_left = next.takeovers_left.checked_sub(1)?;
        next.owner = daemon;
        let daemon_state = &mut next.daemons[daemon];
        daemon_state.is_running = true;
        daemon_state.is_sealed = false;
        daemon_state.must_check_owner = false;
        Some(next)
    }

    /// A new owner seals the log with an empty chunk, or reads the chunk that is in its place.
    fn seal(&self, state: &State, daemon: usize) -> Option<State> {
        let daemon_state = &state.daemons[daemon];
        if !daemon_state.is_running || daemon_state.is_sealed || daemon_state.must_check_owner {
            return None;
        }
        let mut next = state.clone();
        let number = daemon_state.log.chunks();
        if let Some(found) = state.chunks.get(number as usize) {
            let daemon_state = &mut next.daemons[daemon];
            daemon_state.log.commit(number, found.results.clone());
            daemon_state.must_check_owner = self.checks_owner();
            return Some(next.check());
        }
        if self.mutation != Mutation::SkipsSealing {
            next.chunks.push(StoredChunk { writer: state.process_of(daemon), results: Vec::new() });
            next.daemons[daemon].log.commit(number, Vec::new());
        }
        next.daemons[daemon].is_sealed = true;
        Some(next.check())
    }

    /// A writer checks in the store who owns the job.
    fn check_owner(&self, state: &State, daemon: usize) -> Option<State> {
        if !state.daemons[daemon].must_check_owner {
            return None;
        }
        let mut next = state.clone();
        let daemon_state = &mut next.daemons[daemon];
        daemon_state.must_check_owner = false;
        daemon_state.is_running = state.owner == daemon;
        Some(next.check())
    }

    fn restart(&self, state: &State, daemon: usize) -> Option<State> {
        let mut next = state.clone();
        next.restarts_left = next.restarts_left.checked_sub(1)?;
        let old_process = state.process_of(daemon);
        let runs_job = !self.has_ownership;
        let run = old_process.1 + 1;
        next.daemons[daemon] =
            Daemon { run, is_running: runs_job, is_sealed: runs_job, ..Daemon::default() };
        for write in &mut next.writes {
            write.is_awaited &= write.writer != old_process;
        }
        if self.mutation == Mutation::SkipsReadingAfterRestart {
            for number in 0..state.chunks.len() {
                next.daemons[daemon].log.commit(number as u32, Vec::new());
            }
        }
        Some(next)
    }
}

impl System for SharedLog {
    type State = State;

    fn initial_state(&self) -> State {
        let owner = Daemon { is_running: true, is_sealed: true, ..Daemon::default() };
        State {
            chunks: Vec::new(),
            owner: 0,
            daemons: vec![
                owner.clone(),
                if self.has_ownership { Daemon::default() } else { owner },
            ],
            writes: Vec::new(),
            max_shown: 0,
            writes_left: self.writes,
            restarts_left: self.restarts,
            takeovers_left: self.takeovers,
            has_ownership: self.has_ownership,
            violation: None,
        }
    }

    fn successors(&self, state: &State) -> Vec<(State, String)> {
        let mut next = Vec::new();
        for index in 0..state.writes.len() {
            let actions = [
                (self.execute(state, index, true), "is executed, response received"),
                (self.execute(state, index, false), "is executed, response lost"),
                (self.time_out(state, index), "times out"),
            ];
            for (successor, description) in actions {
                next.extend(
                    successor.map(|successor| (successor, format!("write {index} {description}"))),
                );
            }
        }
        for daemon in 0..state.daemons.len() {
            for item in 0..self.items {
                let successor = self.finish(state, daemon, item);
                next.extend(
                    successor.map(|successor| {
                        (successor, format!("daemon {daemon} finishes item {item}"))
                    }),
                );
            }
            let actions = [
                (self.send(state, daemon), "writes a chunk"),
                (self.read(state, daemon), "reads the log"),
                (self.take_over(state, daemon), "takes over the job"),
                (self.seal(state, daemon), "seals the log"),
                (self.check_owner(state, daemon), "checks the owner"),
                (self.restart(state, daemon), "restarts"),
            ];
            for (successor, description) in actions {
                next.extend(
                    successor
                        .map(|successor| (successor, format!("daemon {daemon} {description}"))),
                );
            }
        }
        next
    }

    fn violated_invariant(&self, state: &State) -> Option<&'static str> {
        state.violation
    }
}

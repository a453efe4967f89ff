//! The log of a job's results: two daemons that take the job over from each other and may both run
//! it, a store, writes that are lost or late, and restarts.
//!
//! Invariants: no item stands in two chunks, no chunk ever changes, what a daemon shows is the
//! beginning of what the store holds, and a daemon that owns the job and answers readers knows all
//! that any daemon has ever shown.

use std::rc::Rc;

use heronbend_gateway::batch::result_log::Chunk;
use heronbend_gateway::batch::{ItemResult, ItemState, ResultLog};

use crate::explore::System;

/// A guard that is taken out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// None.
    None,
    /// The store replaces a chunk that exists.
    Overwrites,
    /// A write without an answer is taken for done.
    TakesUnknownForDone,
    /// A restarted daemon appends after the last chunk without having read the others.
    SkipsReading,
    /// A daemon that takes the job over answers readers without having sealed the log.
    NoSeal,
    /// A writer that finds another's chunk appends on without asking who owns the job.
    NoDoubt,
    /// An owner whose write has an unknown outcome answers readers all the same.
    NoInDoubt,
}

/// The system; bounds are small numbers of each event.
#[derive(Debug, Clone, Copy)]
pub struct SharedLog {
    /// Items of the job.
    pub items: usize,
    /// Writes that are sent in all.
    pub writes: u8,
    /// Restarts in all.
    pub restarts: u8,
    /// Times that the job is taken over.
    pub takeovers: u8,
    /// Whether ownership counts. Without it both daemons run the job throughout, and only what holds
    /// whoever owns it is checked.
    pub ownership: bool,
    /// The guard that is taken out.
    pub mutation: Mutation,
}

/// A run of a daemon's process.
type Run = (usize, u8);

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Stored {
    writer: Run,
    results: Vec<Rc<ItemResult>>,
}

/// What a daemon knows and believes of the job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Part {
    run: u8,
    log: ResultLog,
    /// Whether it believes that it owns the job.
    is_running: bool,
    /// Whether it answers readers.
    is_sealed: bool,
    /// Whether it found another's chunk and has not asked yet who owns the job.
    is_in_doubt: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Write {
    writer: Run,
    chunk: Chunk,
    /// Whether its sender still waits for the answer.
    awaited: bool,
}

/// A state of the system.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    chunks: Vec<Stored>,
    owner: usize,
    parts: Vec<Part>,
    writes: Vec<Write>,
    /// Results that a reader may have seen.
    most_shown: usize,
    writes_left: u8,
    restarts_left: u8,
    takeovers_left: u8,
    ownership: bool,
    violation: Option<&'static str>,
}

/// A daemon's result of an item; results of two daemons differ.
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
    /// All results in the order of the chunks.
    fn stored(&self) -> Vec<Rc<ItemResult>> {
        self.chunks.iter().flat_map(|chunk| chunk.results.iter().cloned()).collect()
    }

    fn run_of(&self, daemon: usize) -> Run {
        (daemon, self.parts[daemon].run)
    }

    /// Whether a daemon waits for the answer to a write.
    fn awaits(&self, daemon: usize) -> bool {
        self.writes.iter().any(|write| write.writer == self.run_of(daemon) && write.awaited)
    }

    fn check(mut self) -> Self {
        let stored = self.stored();
        let mut items: Vec<&str> = stored.iter().map(|result| result.item.as_str()).collect();
        items.sort_unstable();
        if items.windows(2).any(|pair| pair[0] == pair[1]) {
            self.violation = Some("an item stands in two chunks");
        }
        let shows_other = |part: &Part| {
            let shown = part.log.page(0);
            shown.len() > stored.len() || stored[..shown.len()] != shown[..]
        };
        if self.parts.iter().any(shows_other) {
            self.violation = Some("a daemon shows what the store does not hold");
        }
        let longest = self.parts.iter().map(|part| part.log.len()).max();
        self.most_shown = self.most_shown.max(longest.unwrap_or(0));
        let owner = &self.parts[self.owner];
        // A write that is waited for is in doubt for less than the time in which all has to agree.
        let answers =
            self.ownership && owner.is_running && owner.is_sealed && !owner.log.is_in_doubt();
        if answers && !self.awaits(self.owner) && owner.log.len() < self.most_shown {
            self.violation = Some("the owner does not know what was shown");
        }
        self
    }
}

impl SharedLog {
    /// Whether a writer that finds another's chunk asks who owns the job.
    fn doubts(&self) -> bool {
        self.ownership && self.mutation != Mutation::NoDoubt
    }

    fn finish(&self, state: &State, daemon: usize, item: usize) -> Option<State> {
        let result = result(daemon, item);
        let part = &state.parts[daemon];
        if !part.is_running || part.log.has_result(&result.item) {
            return None;
        }
        let mut next = state.clone();
        next.parts[daemon].log.add(result);
        Some(next)
    }

    fn send(&self, state: &State, daemon: usize) -> Option<State> {
        let mut next = state.clone();
        next.writes_left = next.writes_left.checked_sub(1)?;
        let part = &mut next.parts[daemon];
        if !part.is_running || !part.is_sealed || part.is_in_doubt {
            return None;
        }
        let chunk = part.log.start_write()?;
        let writer = state.run_of(daemon);
        next.writes.push(Write { writer, chunk, awaited: true });
        Some(next)
    }

    /// The store executes a write, and its answer arrives if it is still awaited.
    fn execute(&self, state: &State, index: usize, is_answered: bool) -> Option<State> {
        let mut next = state.clone();
        let write = next.writes.remove(index);
        let number = write.chunk.number as usize;
        let stored = Stored { writer: write.writer, results: write.chunk.results.clone() };
        if number >= next.chunks.len() {
            // The writer knew all chunks before it, so there is no gap.
            next.chunks.push(stored);
        } else if self.mutation == Mutation::Overwrites {
            next.chunks[number] = stored;
        }
        if !write.awaited {
            return (!is_answered).then(|| next.check());
        }
        let found = next.chunks[number].clone();
        let part = &mut next.parts[write.writer.0];
        if is_answered {
            part.log.commit(write.chunk.number, found.results);
            let is_anothers = found.writer != write.writer;
            part.is_in_doubt |= is_anothers && self.doubts();
        } else {
            Self::lose_answer(self.mutation, &mut part.log, &write.chunk);
        }
        Some(next.check())
    }

    fn lose_answer(mutation: Mutation, log: &mut ResultLog, chunk: &Chunk) {
        if mutation == Mutation::TakesUnknownForDone {
            log.commit(chunk.number, chunk.results.clone());
        } else {
            log.write_failed(mutation != Mutation::NoInDoubt);
        }
    }

    /// A writer gives up waiting; the write may still be executed.
    fn time_out(&self, state: &State, index: usize) -> Option<State> {
        if !state.writes[index].awaited {
            return None;
        }
        let mut next = state.clone();
        next.writes[index].awaited = false;
        let Write { writer, chunk, .. } = next.writes[index].clone();
        Self::lose_answer(self.mutation, &mut next.parts[writer.0].log, &chunk);
        Some(next.check())
    }

    fn read(&self, state: &State, daemon: usize) -> Option<State> {
        if state.awaits(daemon) {
            return None;
        }
        let mut next = state.clone();
        let me = state.run_of(daemon);
        let part = &mut next.parts[daemon];
        for (number, chunk) in state.chunks.iter().enumerate() {
            let is_news = number as u32 >= part.log.chunks();
            part.is_in_doubt |= is_news && chunk.writer != me && self.doubts();
            part.log.commit(number as u32, chunk.results.clone());
        }
        (next != *state).then(|| next.check())
    }

    /// A daemon makes itself the owner.
    fn take_over(&self, state: &State, daemon: usize) -> Option<State> {
        if state.awaits(daemon) || (state.owner == daemon && state.parts[daemon].is_running) {
            return None;
        }
        let mut next = state.clone();
        next.takeovers_left = next.takeovers_left.checked_sub(1)?;
        next.owner = daemon;
        let part = &mut next.parts[daemon];
        part.is_running = true;
        part.is_sealed = false;
        part.is_in_doubt = false;
        Some(next)
    }

    /// A daemon that took the job over appends an empty chunk, or learns the one that is there.
    fn seal(&self, state: &State, daemon: usize) -> Option<State> {
        let part = &state.parts[daemon];
        if !part.is_running || part.is_sealed || part.is_in_doubt {
            return None;
        }
        let mut next = state.clone();
        let number = part.log.chunks();
        if let Some(found) = state.chunks.get(number as usize) {
            let part = &mut next.parts[daemon];
            part.log.commit(number, found.results.clone());
            part.is_in_doubt = self.doubts();
            return Some(next.check());
        }
        if self.mutation != Mutation::NoSeal {
            next.chunks.push(Stored { writer: state.run_of(daemon), results: Vec::new() });
            next.parts[daemon].log.commit(number, Vec::new());
        }
        next.parts[daemon].is_sealed = true;
        Some(next.check())
    }

    /// A writer in doubt asks the store who owns the job.
    fn ask(&self, state: &State, daemon: usize) -> Option<State> {
        if !state.parts[daemon].is_in_doubt {
            return None;
        }
        let mut next = state.clone();
        let part = &mut next.parts[daemon];
        part.is_in_doubt = false;
        part.is_running = state.owner == daemon;
        Some(next.check())
    }

    fn restart(&self, state: &State, daemon: usize) -> Option<State> {
        let mut next = state.clone();
        next.restarts_left = next.restarts_left.checked_sub(1)?;
        let former = state.run_of(daemon);
        let runs_on = !self.ownership;
        let run = former.1 + 1;
        next.parts[daemon] =
            Part { run, is_running: runs_on, is_sealed: runs_on, ..Part::default() };
        for write in &mut next.writes {
            write.awaited &= write.writer != former;
        }
        if self.mutation == Mutation::SkipsReading {
            for number in 0..state.chunks.len() {
                next.parts[daemon].log.commit(number as u32, Vec::new());
            }
        }
        Some(next)
    }
}

impl System for SharedLog {
    type State = State;

    fn start(&self) -> State {
        let owner = Part { is_running: true, is_sealed: true, ..Part::default() };
        State {
            chunks: Vec::new(),
            owner: 0,
            parts: vec![owner.clone(), if self.ownership { Part::default() } else { owner }],
            writes: Vec::new(),
            most_shown: 0,
            writes_left: self.writes,
            restarts_left: self.restarts,
            takeovers_left: self.takeovers,
            ownership: self.ownership,
            violation: None,
        }
    }

    fn successors(&self, state: &State) -> Vec<(State, String)> {
        let mut next = Vec::new();
        for index in 0..state.writes.len() {
            let steps = [
                (self.execute(state, index, true), "is executed and answered"),
                (self.execute(state, index, false), "is executed, its answer lost"),
                (self.time_out(state, index), "is no longer awaited"),
            ];
            for (step, what) in steps {
                next.extend(step.map(|step| (step, format!("write {index} {what}"))));
            }
        }
        for daemon in 0..state.parts.len() {
            for item in 0..self.items {
                let step = self.finish(state, daemon, item);
                next.extend(step.map(|step| (step, format!("daemon {daemon} ends item {item}"))));
            }
            let steps = [
                (self.send(state, daemon), "writes a chunk"),
                (self.read(state, daemon), "reads the log"),
                (self.take_over(state, daemon), "takes the job over"),
                (self.seal(state, daemon), "seals the log"),
                (self.ask(state, daemon), "asks who owns the job"),
                (self.restart(state, daemon), "restarts"),
            ];
            for (step, what) in steps {
                next.extend(step.map(|step| (step, format!("daemon {daemon} {what}"))));
            }
        }
        next
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        state.violation
    }
}

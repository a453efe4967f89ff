//! The log of a job's results: two daemons that both run the job, a store, writes that are lost or
//! late, and restarts.
//!
//! Invariants: no item stands in two chunks, no chunk ever changes, and what a daemon shows is the
//! beginning of what the store holds.

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
    /// The guard that is taken out.
    pub mutation: Mutation,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Write {
    daemon: usize,
    chunk: Chunk,
    /// Whether its sender still waits for the answer.
    awaited: bool,
}

/// A state of the system.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    chunks: Vec<Vec<Rc<ItemResult>>>,
    logs: Vec<ResultLog>,
    writes: Vec<Write>,
    writes_left: u8,
    restarts_left: u8,
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
        self.chunks.iter().flatten().cloned().collect()
    }

    fn check(mut self) -> Self {
        let stored = self.stored();
        let mut items: Vec<&str> = stored.iter().map(|result| result.item.as_str()).collect();
        items.sort_unstable();
        if items.windows(2).any(|pair| pair[0] == pair[1]) {
            self.violation = Some("an item stands in two chunks");
        }
        let shows_other = |log: &ResultLog| {
            let shown = log.page(0);
            shown.len() > stored.len() || stored[..shown.len()] != shown[..]
        };
        if self.logs.iter().any(shows_other) {
            self.violation = Some("a daemon shows what the store does not hold");
        }
        self
    }
}

impl SharedLog {
    fn finish(&self, state: &State, daemon: usize, item: usize) -> Option<State> {
        let result = result(daemon, item);
        if state.logs[daemon].has_result(&result.item) {
            return None;
        }
        let mut next = state.clone();
        next.logs[daemon].add(result);
        Some(next)
    }

    fn send(&self, state: &State, daemon: usize) -> Option<State> {
        let mut next = state.clone();
        next.writes_left = next.writes_left.checked_sub(1)?;
        let chunk = next.logs[daemon].start_writing()?;
        next.writes.push(Write { daemon, chunk, awaited: true });
        Some(next)
    }

    /// The store executes a write, and its answer arrives if it is still awaited.
    fn execute(&self, state: &State, index: usize, is_answered: bool) -> Option<State> {
        let mut next = state.clone();
        let write = next.writes.remove(index);
        let number = write.chunk.number as usize;
        let exists = number < next.chunks.len();
        if !exists {
            // The writer knew all chunks before it, so there is no gap.
            next.chunks.push(write.chunk.results.clone());
        } else if self.mutation == Mutation::Overwrites {
            next.chunks[number] = write.chunk.results.clone();
        }
        if !write.awaited {
            return (!is_answered).then(|| next.check());
        }
        let log = &mut next.logs[write.daemon];
        if is_answered {
            log.settle(write.chunk.number, next.chunks[number].clone());
        } else {
            Self::lose_answer(self.mutation, log, &write.chunk);
        }
        Some(next.check())
    }

    fn lose_answer(mutation: Mutation, log: &mut ResultLog, chunk: &Chunk) {
        if mutation == Mutation::TakesUnknownForDone {
            log.settle(chunk.number, chunk.results.clone());
        } else {
            log.write_failed();
        }
    }

    /// A writer gives up waiting; the write may still be executed.
    fn time_out(&self, state: &State, index: usize) -> Option<State> {
        if !state.writes[index].awaited {
            return None;
        }
        let mut next = state.clone();
        next.writes[index].awaited = false;
        let Write { daemon, chunk, .. } = next.writes[index].clone();
        Self::lose_answer(self.mutation, &mut next.logs[daemon], &chunk);
        Some(next.check())
    }

    fn read(&self, state: &State, daemon: usize) -> Option<State> {
        let mut next = state.clone();
        let is_writing = state.writes.iter().any(|write| write.daemon == daemon && write.awaited);
        if is_writing {
            return None;
        }
        for (number, chunk) in state.chunks.iter().enumerate() {
            next.logs[daemon].settle(number as u32, chunk.clone());
        }
        (next != *state).then(|| next.check())
    }

    fn restart(&self, state: &State, daemon: usize) -> Option<State> {
        let mut next = state.clone();
        next.restarts_left = next.restarts_left.checked_sub(1)?;
        next.logs[daemon] = ResultLog::default();
        for write in &mut next.writes {
            write.awaited &= write.daemon != daemon;
        }
        if self.mutation == Mutation::SkipsReading {
            for number in 0..state.chunks.len() {
                next.logs[daemon].settle(number as u32, Vec::new());
            }
        }
        Some(next)
    }
}

impl System for SharedLog {
    type State = State;

    fn start(&self) -> State {
        State {
            chunks: Vec::new(),
            logs: vec![ResultLog::default(), ResultLog::default()],
            writes: Vec::new(),
            writes_left: self.writes,
            restarts_left: self.restarts,
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
        for daemon in 0..state.logs.len() {
            for item in 0..self.items {
                let step = self.finish(state, daemon, item);
                next.extend(step.map(|step| (step, format!("daemon {daemon} ends item {item}"))));
            }
            let steps = [
                (self.send(state, daemon), "writes a chunk"),
                (self.read(state, daemon), "reads the log"),
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

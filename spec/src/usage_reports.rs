//! Reports of usage: two daemons that both think it their turn, a store, a provider, and calls that
//! are slow, lost or late.
//!
//! The lease that keeps the two apart is left out on purpose: reports have to agree without it. Each
//! daemon has counted otherwise. A write or a report that was sent may be carried out at any later
//! time or never; a daemon may give up on an answer, read the record, be told of an accepted report,
//! or restart, upon which it knows nothing.
//!
//! Invariants: the provider never accepts two reports of a window that differ, and what is settled of
//! a window never changes in the store.

use std::collections::BTreeMap;

use heronbend::usage::settlement::Proposal;
use heronbend::usage::Counts;
use heronbend::usage::Report;
use heronbend::usage::SettledWindows;
use heronbend::usage::Settlement;
use heronbend::usage::Window;

use crate::explore::System;

/// A guard that is taken out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// None.
    None,
    /// The store replaces the record whatever its revision.
    Unconditional,
    /// A daemon takes its own proposal for settled once it is sent.
    SendsBeforeSettled,
    /// A daemon whose proposal lost goes on with it.
    KeepsOwn,
}

/// The system.
#[derive(Debug, Clone, Copy)]
pub struct UsageReports {
    /// Windows that close.
    pub windows: u64,
    /// Writes that are sent in all.
    pub writes: u8,
    /// Reports that are sent in all.
    pub reports: u8,
    /// Restarts in all.
    pub restarts: u8,
    /// The guard that is taken out.
    pub mutation: Mutation,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Key {
    daemon: usize,
    /// Of the daemon's process that sent it.
    run: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Write {
    by: Key,
    replaces: Option<u64>,
    settled: SettledWindows,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Answer {
    write: Write,
    /// What the store holds afterwards.
    revision: u64,
    settled: SettledWindows,
}

/// A state of the system.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    closed: u64,
    record: Option<(u64, SettledWindows)>,
    daemons: Vec<Settlement>,
    runs: Vec<u8>,
    writes: Vec<Write>,
    answers: Vec<Answer>,
    reports: Vec<(Key, Report)>,
    accepted: BTreeMap<Window, Counts>,
    settled: BTreeMap<Window, Counts>,
    writes_left: u8,
    reports_left: u8,
    restarts_left: u8,
    violation: Option<&'static str>,
}

const FIRST: Window = Window(1);

fn counted(daemon: usize, window: Window) -> Counts {
    let count = window.0 * 10 + daemon as u64;
    Counts::from_iter([("tenant".to_owned(), count)])
}

impl UsageReports {
    fn propose(&self, state: &State, daemon: usize) -> Option<State> {
        let left = state.writes_left.checked_sub(1)?;
        let last = FIRST.0.checked_add(state.closed)?.checked_sub(1)?;
        let total = |window| counted(daemon, window);
        let proposal = state.daemons[daemon].proposal(Window(last), total)?;
        if state.closed == 0 {
            return None;
        }
        let Proposal { replaces, settled } = proposal;
        let mut next = state.clone();
        next.writes_left = left;
        if self.mutation == Mutation::SendsBeforeSettled {
            let revision = replaces.unwrap_or(0) + 1;
            next.daemons[daemon].update_record(revision, settled.clone());
        }
        let by = Key { daemon, run: state.runs[daemon] };
        next.writes.push(Write { by, replaces, settled });
        Some(next)
    }

    fn execute(&self, state: &State, index: usize) -> State {
        let mut next = state.clone();
        let write = next.writes.remove(index);
        let known = next.record.as_ref().map(|(revision, _)| *revision);
        if known == write.replaces || self.mutation == Mutation::Unconditional {
            next.record = Some((known.unwrap_or(0) + 1, write.settled.clone()));
            next.note_settled(&write.settled);
        }
        if let Some((revision, settled)) = next.record.clone() {
            next.answers.push(Answer { write, revision, settled });
        }
        next
    }

    fn deliver(&self, state: &State, index: usize) -> State {
        let mut next = state.clone();
        let answer = next.answers.remove(index);
        let Key { daemon, run } = answer.write.by;
        if run != next.runs[daemon] {
            return next;
        }
        let keeps_own = self.mutation == Mutation::KeepsOwn;
        let settled = if keeps_own { answer.write.settled } else { answer.settled };
        next.daemons[daemon].update_record(answer.revision, settled);
        next
    }

    fn restart(&self, state: &State, daemon: usize) -> Option<State> {
        let mut next = state.clone();
        next.restarts_left = next.restarts_left.checked_sub(1)?;
        next.daemons[daemon] = Settlement::new(FIRST);
        next.runs[daemon] += 1;
        Some(next)
    }
}

impl State {
    /// Notes what a record settles; a window's counts may not change.
    fn note_settled(&mut self, settled: &SettledWindows) {
        for report in settled.reports() {
            let known = self.settled.entry(report.window).or_insert_with(|| report.counts.clone());
            if *known != report.counts {
                self.violation = Some("the counts of a settled window change");
            }
        }
    }

    fn send(&self, daemon: usize) -> Option<Self> {
        let left = self.reports_left.checked_sub(1)?;
        let report = self.daemons[daemon].next_report()?.clone();
        let mut next = self.clone();
        next.reports_left = left;
        next.reports.push((Key { daemon, run: self.runs[daemon] }, report));
        Some(next)
    }

    /// A report arrives; its sender hears of it, or not.
    fn accept(&self, index: usize, is_answered: bool) -> Self {
        let mut next = self.clone();
        let (by, report) = next.reports.remove(index);
        let known = next.accepted.entry(report.window).or_insert_with(|| report.counts.clone());
        if *known != report.counts {
            next.violation = Some("two reports of a window differ");
        }
        if is_answered && by.run == next.runs[by.daemon] {
            next.daemons[by.daemon].mark_reported(report.window);
        }
        next
    }

    fn read(&self, daemon: usize) -> Option<Self> {
        let (revision, settled) = self.record.clone()?;
        let mut next = self.clone();
        next.daemons[daemon].update_record(revision, settled);
        (next != *self).then_some(next)
    }

    fn give_up(&self, daemon: usize) -> Option<Self> {
        let mut next = self.clone();
        next.daemons[daemon].invalidate();
        (next != *self).then_some(next)
    }

    fn hear(&self, daemon: usize) -> Option<Self> {
        let window = *self.accepted.keys().next_back()?;
        let mut next = self.clone();
        next.daemons[daemon].mark_reported(window);
        (next != *self).then_some(next)
    }

    /// Messages are a set: the order in which they were sent does not matter.
    fn sorted(mut self) -> Self {
        self.writes
            .sort_by_key(|write| (write.by.clone(), write.replaces, write.settled.last_window()));
        self.answers.sort_by_key(|answer| (answer.write.by.clone(), answer.revision));
        self.reports.sort_by_key(|(by, report)| (by.clone(), report.window));
        self
    }
}

impl System for UsageReports {
    type State = State;

    fn start(&self) -> State {
        State {
            closed: 0,
            record: None,
            daemons: vec![Settlement::new(FIRST); 2],
            runs: vec![0; 2],
            writes: Vec::new(),
            answers: Vec::new(),
            reports: Vec::new(),
            accepted: BTreeMap::new(),
            settled: BTreeMap::new(),
            writes_left: self.writes,
            reports_left: self.reports,
            restarts_left: self.restarts,
            violation: None,
        }
    }

    fn successors(&self, state: &State) -> Vec<(State, String)> {
        let mut next = Vec::new();
        if state.closed < self.windows {
            let mut later = state.clone();
            later.closed += 1;
            next.push((later, format!("window {} closes", state.closed + 1)));
        }
        for index in 0..state.writes.len() {
            next.push((self.execute(state, index), format!("write {index} is executed")));
        }
        for index in 0..state.answers.len() {
            next.push((self.deliver(state, index), format!("answer {index} arrives")));
        }
        for index in 0..state.reports.len() {
            for is_answered in [true, false] {
                let event = format!("report {index} is accepted, answered: {is_answered}");
                next.push((state.accept(index, is_answered), event));
            }
        }
        for daemon in 0..state.daemons.len() {
            let steps = [
                (self.propose(state, daemon), "proposes what has closed"),
                (state.send(daemon), "sends a report"),
                (state.read(daemon), "reads the record"),
                (state.give_up(daemon), "gives up on an answer"),
                (state.hear(daemon), "hears of an accepted report"),
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

//! Usage reports: two daemons that both assume that they report, a store, a provider, and calls
//! that are slow, lost or delayed.
//!
//! The lease that normally selects one reporter is omitted: reports must agree without it. The
//! daemons count differently. A write or report may be executed at any later time or never. A
//! daemon may give up on a response, read the record, learn of an accepted report, or restart,
//! which loses its state.
//!
//! Invariants: the provider never accepts two different reports of a window, and the settled counts
//! of a window never change in the store.

use std::collections::BTreeMap;

use heronbend::usage::settlement::Proposal;
use heronbend::usage::Counts;
use heronbend::usage::Report;
use heronbend::usage::SettledWindows;
use heronbend::usage::Settlement;
use heronbend::usage::Window;

use crate::explore::System;

/// A guard of the protocol that is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// The unmodified protocol.
    None,
    /// The store replaces the record regardless of its revision.
    UnconditionalWrites,
    /// A daemon considers its proposal settled when it is sent.
    SettledOnSend,
    /// A daemon keeps its own proposal after another one was settled.
    KeepsOwnProposal,
}

/// The system and its bounds.
#[derive(Debug, Clone, Copy)]
pub struct UsageReports {
    /// Closed windows in total.
    pub windows: u64,
    /// Writes in total.
    pub writes: u8,
    /// Reports in total.
    pub reports: u8,
    /// Restarts in total.
    pub restarts: u8,
    /// The removed guard.
    pub mutation: Mutation,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Sender {
    daemon: usize,
    /// Run of the sending daemon.
    run: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Write {
    sender: Sender,
    replaces: Option<u64>,
    settled: SettledWindows,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Response {
    write: Write,
    /// Revision of the record after the write.
    revision: u64,
    settled: SettledWindows,
}

/// A global state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    closed_windows: u64,
    record: Option<(u64, SettledWindows)>,
    daemons: Vec<Settlement>,
    runs: Vec<u8>,
    writes: Vec<Write>,
    responses: Vec<Response>,
    reports: Vec<(Sender, Report)>,
    accepted: BTreeMap<Window, Counts>,
    settled: BTreeMap<Window, Counts>,
    writes_left: u8,
    reports_left: u8,
    restarts_left: u8,
    violation: Option<&'static str>,
}

const FIRST: Window = Window(1);

fn counts_of(daemon: usize, window: Window) -> Counts {
    let count = window.0 * 10 + daemon as u64;
    Counts::from_iter([("tenant".to_owned(), count)])
}

impl UsageReports {
    fn propose(&self, state: &State, daemon: usize) -> Option<State> {
        let remaining = state.writes_left.checked_sub(1)?;
        let last = FIRST.0.checked_add(state.closed_windows)?.checked_sub(1)?;
        let total = |window| counts_of(daemon, window);
        let proposal = state.daemons[daemon].proposal(Window(last), total)?;
        if state.closed_windows == 0 {
            return None;
        }
        let Proposal { replaces, settled } = proposal;
        let mut next = state.clone();
        next.writes_left = remaining;
        if self.mutation == Mutation::SettledOnSend {
            let revision = replaces.unwrap_or(0) + 1;
            next.daemons[daemon].update_record(revision, settled.clone());
        }
        let sender = Sender { daemon, run: state.runs[daemon] };
        next.writes.push(Write { sender, replaces, settled });
        Some(next)
    }

    fn execute(&self, state: &State, index: usize) -> State {
        let mut next = state.clone();
        let write = next.writes.remove(index);
        let current_revision = next.record.as_ref().map(|(revision, _)| *revision);
        if current_revision == write.replaces || self.mutation == Mutation::UnconditionalWrites {
            next.record = Some((current_revision.unwrap_or(0) + 1, write.settled.clone()));
            next.record_settled(&write.settled);
        }
        if let Some((revision, settled)) = next.record.clone() {
            next.responses.push(Response { write, revision, settled });
        }
        next
    }

    fn deliver(&self, state: &State, index: usize) -> State {
        let mut next = state.clone();
        let response = next.responses.remove(index);
        let Sender { daemon, run } = response.write.sender;
        if run != next.runs[daemon] {
            return next;
        }
        let keeps_own_proposal = self.mutation == Mutation::KeepsOwnProposal;
        let settled = if keeps_own_proposal { response.write.settled } else { response.settled };
        next.daemons[daemon].update_record(response.revision, settled);
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
    /// Records the settled counts, and a violation if those of a window change.
    fn record_settled(&mut self, settled: &SettledWindows) {
        for report in settled.reports() {
            let settled_counts =
                self.settled.entry(report.window).or_insert_with(|| report.counts.clone());
            if *settled_counts != report.counts {
                self.violation = Some("the counts of a settled window change");
            }
        }
    }

    fn send_report(&self, daemon: usize) -> Option<Self> {
        let remaining = self.reports_left.checked_sub(1)?;
        let report = self.daemons[daemon].next_report()?.clone();
        let mut next = self.clone();
        next.reports_left = remaining;
        next.reports.push((Sender { daemon, run: self.runs[daemon] }, report));
        Some(next)
    }

    /// The provider accepts a report; the response is received or lost.
    fn accept(&self, index: usize, is_acknowledged: bool) -> Self {
        let mut next = self.clone();
        let (sender, report) = next.reports.remove(index);
        let accepted_counts =
            next.accepted.entry(report.window).or_insert_with(|| report.counts.clone());
        if *accepted_counts != report.counts {
            next.violation = Some("two reports of a window differ");
        }
        if is_acknowledged && sender.run == next.runs[sender.daemon] {
            next.daemons[sender.daemon].mark_reported(report.window);
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

    fn learn_of_report(&self, daemon: usize) -> Option<Self> {
        let window = *self.accepted.keys().next_back()?;
        let mut next = self.clone();
        next.daemons[daemon].mark_reported(window);
        (next != *self).then_some(next)
    }

    /// Sorts the messages, whose order is irrelevant.
    fn sorted(mut self) -> Self {
        self.writes.sort_by_key(|write| {
            (write.sender.clone(), write.replaces, write.settled.last_window())
        });
        self.responses.sort_by_key(|response| (response.write.sender.clone(), response.revision));
        self.reports.sort_by_key(|(sender, report)| (sender.clone(), report.window));
        self
    }
}

impl System for UsageReports {
    type State = State;

    fn initial_state(&self) -> State {
        State {
            closed_windows: 0,
            record: None,
            daemons: vec![Settlement::new(FIRST); 2],
            runs: vec![0; 2],
            writes: Vec::new(),
            responses: Vec::new(),
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
        if state.closed_windows < self.windows {
            let mut advanced = state.clone();
            advanced.closed_windows += 1;
            next.push((advanced, format!("window {} closes", state.closed_windows + 1)));
        }
        for index in 0..state.writes.len() {
            next.push((self.execute(state, index), format!("write {index} is executed")));
        }
        for index in 0..state.responses.len() {
            next.push((self.deliver(state, index), format!("response {index} arrives")));
        }
        for index in 0..state.reports.len() {
            for is_acknowledged in [true, false] {
                let event = format!("report {index} is accepted, acknowledged: {is_acknowledged}");
                next.push((state.accept(index, is_acknowledged), event));
            }
        }
        for daemon in 0..state.daemons.len() {
            let actions = [
                (self.propose(state, daemon), "proposes the closed windows"),
                (state.send_report(daemon), "sends a report"),
                (state.read(daemon), "reads the record"),
                (state.give_up(daemon), "gives up on a response"),
                (state.learn_of_report(daemon), "learns of an accepted report"),
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

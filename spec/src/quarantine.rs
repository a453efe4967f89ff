//! A request that ends each server that begins it, and daemons that tell each other of it: news that is
//! lost, late or doubled, daemons that restart, and answers of the store that are lost.
//!
//! Whoever has the request may send it to a server whenever what it knows lets it, and a probe is due at
//! any time. News of an ending may reach any daemon at any later time, any number of times, or never.
//!
//! Invariants: all daemons together run no more probes than there are; each daemon, in each of its
//! lives, ends no more servers by itself than quarantine the request.

use std::collections::BTreeSet;
use std::time::Duration;

use heronbend::quarantine::fingerprint::FingerprintInput;
use heronbend::quarantine::Admission;
use heronbend::quarantine::Crash;
use heronbend::quarantine::Fingerprint;
use heronbend::quarantine::Limits;
use heronbend::quarantine::Record;
use heronbend::quarantine::Table;
use heronbend::Moment;

use crate::explore::System;

/// Probes that there are.
const PROBES: u8 = 3;
/// Long after all that was learnt, so that each probe is due.
const NOW: Moment = Duration::from_secs(600);

/// A guard that is taken out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// None.
    None,
    /// What a daemon learns of the request ends with the try.
    ForgetsEndings,
    /// A daemon counts its own probes and does not ask the store.
    ProbesUngranted,
    /// The record is replaced whatever its revision.
    GrantsUnconditionally,
}

/// The system.
#[derive(Debug, Clone, Copy)]
pub struct Quarantine {
    /// Daemons.
    pub daemons: usize,
    /// Times that the request is sent to a server, in all.
    pub sends: u8,
    /// Daemons that are restarted, in all.
    pub restarts: u8,
    /// Answers of the store that are lost, in all.
    pub lost_answers: u8,
    /// The guard that is taken out.
    pub mutation: Mutation,
}

/// What a daemon has under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Run {
    Free,
    Probe,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Daemon {
    /// Servers that it knows to have ended.
    endings: BTreeSet<u8>,
    /// The store's record as it knows it: its revision and the probes.
    record: Option<(u64, u8)>,
    run: Option<Run>,
    /// Servers that it ended in this life other than by probes.
    ended: u8,
}

/// A state of the system.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    daemons: Vec<Daemon>,
    /// Endings that were told.
    told: BTreeSet<u8>,
    /// What the store holds.
    store: Option<(u64, u8)>,
    /// Servers that ended so far.
    ended: u8,
    /// Probes that ran.
    probed: u8,
    sends: u8,
    restarts: u8,
    lost_answers: u8,
}

fn request() -> Fingerprint {
    let traits =
        FingerprintInput { method: "POST", host: "h", target: "/", tenant: None, body: b"" };
    Fingerprint::of(&traits)
}

impl Daemon {
    fn table(&self) -> Table {
        let mut table = Table::default();
        let endings: Vec<Crash> = self
            .endings
            .iter()
            .map(|server| Crash { server: format!("s{server}"), is_excused: false })
            .collect();
        table.merge(Moment::ZERO, request(), &endings);
        if let Some((revision, probes)) = self.record {
            let record = Record { revision, probes: usize::from(probes) };
            table.set_record(Moment::ZERO, request(), record);
        }
        table
    }

    fn learn(&mut self, record: Option<(u64, u8)>) {
        self.record = self.record.max(record);
    }
}

impl Quarantine {
    /// The request is sent to a server, as far as the daemon lets it.
    fn send(&self, state: &State, number: usize, is_answer_lost: bool) -> Option<State> {
        let daemon = &state.daemons[number];
        if daemon.run.is_some() {
            return None;
        }
        let mut next = state.clone();
        next.sends = state.sends.checked_sub(1)?;
        match daemon.table().admission(NOW, request()) {
            Admission::Allowed | Admission::Isolated if !is_answer_lost => {
                next.daemons[number].run = Some(Run::Free);
            }
            Admission::Probe => return self.probe(next, number, is_answer_lost),
            _ => return None,
        }
        Some(next)
    }

    /// A probe is granted by the store, or another one has been.
    fn probe(&self, mut next: State, number: usize, is_answer_lost: bool) -> Option<State> {
        let (revision, probes) = next.daemons[number].record?;
        if self.mutation == Mutation::ProbesUngranted {
            next.daemons[number].record = Some((revision, probes + 1));
            next.daemons[number].run = Some(Run::Probe);
            return Some(next);
        }
        let held = next.store?;
        let holds = held.0 == revision || self.mutation == Mutation::GrantsUnconditionally;
        if !holds {
            next.daemons[number].learn(Some(held));
            return Some(next);
        }
        let granted = Some((held.0 + 1, probes + 1));
        next.store = granted;
        if is_answer_lost {
            next.lost_answers = next.lost_answers.checked_sub(1)?;
            return Some(next);
        }
        next.daemons[number].record = granted;
        next.daemons[number].run = Some(Run::Probe);
        Some(next)
    }

    /// The server ends, and the daemon finds that out and tells the others.
    fn end(&self, state: &State, number: usize) -> Option<State> {
        let run = state.daemons[number].run?;
        let mut next = state.clone();
        let server = state.ended;
        next.ended += 1;
        let daemon = &mut next.daemons[number];
        daemon.run = None;
        match run {
            Run::Free => daemon.ended += 1,
            Run::Probe => next.probed += 1,
        }
        if self.mutation != Mutation::ForgetsEndings {
            daemon.endings.insert(server);
            next.told.insert(server);
        }
        Some(next)
    }

    /// News of an ending arrives.
    fn hear(&self, state: &State, number: usize, server: u8) -> Option<State> {
        let mut next = state.clone();
        let is_news = next.daemons[number].endings.insert(server);
        is_news.then_some(next)
    }

    /// A daemon that holds the request quarantined records it, or learns that another one has.
    fn record(&self, state: &State, number: usize) -> Option<State> {
        let daemon = &state.daemons[number];
        let is_due = daemon.record.is_none() && daemon.table().is_quarantined(request());
        if !is_due {
            return None;
        }
        let mut next = state.clone();
        let held = state.store.unwrap_or((1, 0));
        next.store = Some(held);
        next.daemons[number].learn(Some(held));
        Some(next)
    }

    /// News of the record arrives by the store.
    fn follow(&self, state: &State, number: usize) -> Option<State> {
        let mut next = state.clone();
        next.daemons[number].learn(state.store);
        (next != *state).then_some(next)
    }

    /// A daemon starts anew and knows nothing. A server that it had the request at ends unseen.
    fn restart(&self, state: &State, number: usize) -> Option<State> {
        let mut next = state.clone();
        next.restarts = state.restarts.checked_sub(1)?;
        match state.daemons[number].run {
            None => {}
            Some(run) => {
                next.ended += 1;
                next.probed += u8::from(run == Run::Probe);
            }
        }
        next.daemons[number] = Daemon::default();
        Some(next)
    }
}

impl System for Quarantine {
    type State = State;

    fn start(&self) -> State {
        State {
            daemons: vec![Daemon::default(); self.daemons],
            told: BTreeSet::new(),
            store: None,
            ended: 0,
            probed: 0,
            sends: self.sends,
            restarts: self.restarts,
            lost_answers: self.lost_answers,
        }
    }

    fn successors(&self, state: &State) -> Vec<(State, String)> {
        let mut next = Vec::new();
        for number in 0..self.daemons {
            let steps = [
                (self.send(state, number, false), "sends the request"),
                (self.send(state, number, true), "hears nothing of its probe"),
                (self.end(state, number), "finds the server gone"),
                (self.record(state, number), "records the request"),
                (self.follow(state, number), "hears of the record"),
                (self.restart(state, number), "starts anew"),
            ];
            for (step, what) in steps {
                next.extend(step.map(|state| (state, format!("daemon {number} {what}"))));
            }
            for server in &state.told {
                let heard = self.hear(state, number, *server);
                let event = format!("daemon {number} hears of the end of {server}");
                next.extend(heard.map(|state| (state, event)));
            }
        }
        next
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        let limit = u8::try_from(Limits::default().crash_threshold).unwrap_or(u8::MAX);
        if state.probed > PROBES {
            return Some("more probes ran than there are");
        }
        let is_over = state.daemons.iter().any(|daemon| daemon.ended > limit);
        is_over.then_some("a daemon ended more servers than quarantine the request")
    }
}

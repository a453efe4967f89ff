//! Quarantine of a request that crashes every server that runs it. Daemons exchange reports of
//! crashes, which may be lost, delayed or duplicated; daemons restart, and responses of the store
//! are lost.
//!
//! A daemon may send the request whenever its state admits it, and a probe is always due. A probe
//! that no server ran is returned. A report
//! of a crash may reach any daemon at any later time, any number of times, or never.
//!
//! Invariants: all daemons together run at most the maximum number of probes, and between restarts
//! no daemon causes more crashes, except by probes, than the quarantine threshold.

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

/// Maximum number of probes.
const MAX_PROBES: u8 = 3;
/// Time of all admissions, late enough for every probe to be due.
const NOW: Moment = Duration::from_secs(600);

/// A guard of the protocol that is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// The unmodified protocol.
    None,
    /// A daemon does not record crashes.
    ForgetsCrashes,
    /// A daemon probes without a grant from the store.
    ProbesWithoutGrant,
    /// The store grants a probe regardless of the record's revision.
    GrantsUnconditionally,
    /// A probe is returned although a server ran it.
    ReturnsAfterRun,
}

/// The system and its bounds.
#[derive(Debug, Clone, Copy)]
pub struct Quarantine {
    /// Number of daemons.
    pub daemons: usize,
    /// Times that the request is sent to a server, in total.
    pub sends: u8,
    /// Restarts of daemons in total.
    pub restarts: u8,
    /// Lost responses of the store in total.
    pub lost_responses: u8,
    /// Probes that are returned in total.
    pub returns: u8,
    /// The removed guard.
    pub mutation: Mutation,
}

/// The request in flight of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum InFlight {
    Normal,
    /// A probe, granted by the record at this revision.
    Probe(u64),
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Daemon {
    /// Servers known to have crashed.
    known_crashes: BTreeSet<u8>,
    /// Known record of the store: its revision and the number of probes.
    record: Option<(u64, u8)>,
    in_flight: Option<InFlight>,
    /// Crashes caused since the last restart, other than by probes.
    crashed: u8,
}

/// A global state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    daemons: Vec<Daemon>,
    /// Crashes that were reported.
    reported: BTreeSet<u8>,
    /// Record in the store: its revision and the number of probes.
    store: Option<(u64, u8)>,
    /// Number of crashed servers.
    crashed: u8,
    /// Number of finished probes.
    finished_probes: u8,
    sends: u8,
    restarts: u8,
    lost_responses: u8,
    returns: u8,
}

fn request() -> Fingerprint {
    let input =
        FingerprintInput { method: "POST", host: "h", target: "/", tenant: None, body: b"" };
    Fingerprint::of(&input)
}

impl Daemon {
    fn table(&self) -> Table {
        let mut table = Table::default();
        let known_crashes: Vec<Crash> = self
            .known_crashes
            .iter()
            .map(|server| Crash { server: format!("s{server}"), is_excused: false })
            .collect();
        table.merge(Moment::ZERO, request(), &known_crashes);
        if let Some((revision, probes)) = self.record {
            let record = Record { revision, probes: usize::from(probes) };
            table.set_record(Moment::ZERO, request(), record);
        }
        table
    }

    fn merge_record(&mut self, record: Option<(u64, u8)>) {
        self.record = self.record.max(record);
    }
}

impl Quarantine {
    /// Sends the request to a server if the daemon admits it.
    fn send(&self, state: &State, index: usize, is_response_lost: bool) -> Option<State> {
        let daemon = &state.daemons[index];
        if daemon.in_flight.is_some() {
            return None;
        }
        let mut next = state.clone();
        next.sends = state.sends.checked_sub(1)?;
        match daemon.table().admission(NOW, request()) {
            Admission::Allowed | Admission::Isolated if !is_response_lost => {
                next.daemons[index].in_flight = Some(InFlight::Normal);
            }
            Admission::Probe => return self.probe(next, index, is_response_lost),
            _ => return None,
        }
        Some(next)
    }

    /// Requests a probe from the store, which rejects it if the record has changed.
    fn probe(&self, mut next: State, index: usize, is_response_lost: bool) -> Option<State> {
        let (revision, probes) = next.daemons[index].record?;
        if self.mutation == Mutation::ProbesWithoutGrant {
            next.daemons[index].record = Some((revision, probes + 1));
            next.daemons[index].in_flight = Some(InFlight::Probe(revision));
            return Some(next);
        }
        let stored = next.store?;
        let is_current = stored.0 == revision || self.mutation == Mutation::GrantsUnconditionally;
        if !is_current {
            next.daemons[index].merge_record(Some(stored));
            return Some(next);
        }
        let granted = Some((stored.0 + 1, probes + 1));
        next.store = granted;
        if is_response_lost {
            next.lost_responses = next.lost_responses.checked_sub(1)?;
            return Some(next);
        }
        next.daemons[index].record = granted;
        next.daemons[index].in_flight = Some(InFlight::Probe(stored.0 + 1));
        Some(next)
    }

    /// The server crashes; the daemon detects and reports it.
    fn crash(&self, state: &State, index: usize) -> Option<State> {
        let in_flight = state.daemons[index].in_flight?;
        let mut next = state.clone();
        let server = state.crashed;
        next.crashed += 1;
        let daemon = &mut next.daemons[index];
        daemon.in_flight = None;
        match in_flight {
            InFlight::Normal => daemon.crashed += 1,
            InFlight::Probe(_) => next.finished_probes += 1,
        }
        if self.mutation != Mutation::ForgetsCrashes {
            daemon.known_crashes.insert(server);
            next.reported.insert(server);
        }
        if let (InFlight::Probe(granted), Mutation::ReturnsAfterRun) = (in_flight, self.mutation) {
            Self::take_probe_back(&mut next, index, granted);
        }
        Some(next)
    }

    /// A daemon returns a probe that no server ran.
    fn return_probe(&self, state: &State, index: usize) -> Option<State> {
        let Some(InFlight::Probe(granted)) = state.daemons[index].in_flight else {
            return None;
        };
        let mut next = state.clone();
        next.returns = state.returns.checked_sub(1)?;
        next.daemons[index].in_flight = None;
        Self::take_probe_back(&mut next, index, granted);
        Some(next)
    }

    /// Replaces the record, unless it has changed since the probe was granted.
    fn take_probe_back(next: &mut State, index: usize, granted: u64) {
        let Some((revision, probes)) = next.store else {
            return;
        };
        if revision == granted {
            next.store = Some((revision + 1, probes.saturating_sub(1)));
            next.daemons[index].merge_record(next.store);
        }
    }

    /// A report of a crash arrives.
    fn receive_report(&self, state: &State, index: usize, server: u8) -> Option<State> {
        let mut next = state.clone();
        let is_new = next.daemons[index].known_crashes.insert(server);
        is_new.then_some(next)
    }

    /// A daemon that quarantines the request creates the store's record, or reads it if it exists.
    fn record(&self, state: &State, index: usize) -> Option<State> {
        let daemon = &state.daemons[index];
        let is_due = daemon.record.is_none() && daemon.table().is_quarantined(request());
        if !is_due {
            return None;
        }
        let mut next = state.clone();
        let stored = state.store.unwrap_or((1, 0));
        next.store = Some(stored);
        next.daemons[index].merge_record(Some(stored));
        Some(next)
    }

    /// A daemon receives the record from its watch of the store.
    fn receive_record(&self, state: &State, index: usize) -> Option<State> {
        let mut next = state.clone();
        next.daemons[index].merge_record(state.store);
        (next != *state).then_some(next)
    }

    /// A daemon restarts without its state. The server that runs its request crashes undetected.
    fn restart(&self, state: &State, index: usize) -> Option<State> {
        let mut next = state.clone();
        next.restarts = state.restarts.checked_sub(1)?;
        match state.daemons[index].in_flight {
            None => {}
            Some(in_flight) => {
                next.crashed += 1;
                next.finished_probes += u8::from(in_flight != InFlight::Normal);
            }
        }
        next.daemons[index] = Daemon::default();
        Some(next)
    }
}

impl System for Quarantine {
    type State = State;

    fn initial_state(&self) -> State {
        State {
            daemons: vec![Daemon::default(); self.daemons],
            reported: BTreeSet::new(),
            store: None,
            crashed: 0,
            finished_probes: 0,
            sends: self.sends,
            restarts: self.restarts,
            lost_responses: self.lost_responses,
            returns: self.returns,
        }
    }

    fn successors(&self, state: &State) -> Vec<(State, String)> {
        let mut next = Vec::new();
        for index in 0..self.daemons {
            let actions = [
                (self.send(state, index, false), "sends the request"),
                (self.send(state, index, true), "sends the request, response of the store lost"),
                (self.crash(state, index), "detects a crash"),
                (self.return_probe(state, index), "returns a probe"),
                (self.record(state, index), "records the quarantine"),
                (self.receive_record(state, index), "receives the record"),
                (self.restart(state, index), "restarts"),
            ];
            for (successor, description) in actions {
                next.extend(
                    successor.map(|state| (state, format!("daemon {index} {description}"))),
                );
            }
            for server in &state.reported {
                let received = self.receive_report(state, index, *server);
                let event = format!("daemon {index} receives the report of server {server}");
                next.extend(received.map(|state| (state, event)));
            }
        }
        next
    }

    fn violated_invariant(&self, state: &State) -> Option<&'static str> {
        let limit = u8::try_from(Limits::default().crash_threshold).unwrap_or(u8::MAX);
        if state.finished_probes > MAX_PROBES {
            return Some("more than the maximum number of probes ran");
        }
        let is_exceeded = state.daemons.iter().any(|daemon| daemon.crashed > limit);
        is_exceeded.then_some("a daemon caused more crashes than the quarantine threshold")
    }
}

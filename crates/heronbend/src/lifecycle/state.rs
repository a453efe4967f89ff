//! The state of each back end, without I/O.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::identity::Incarnation;
use crate::Moment;

/// A back end's name in the platform's list of machines.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
#[serde(transparent)]
#[musli(transparent)]
pub struct BackendName(pub String);

impl fmt::Display for BackendName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// A model engine or application server, as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// Its name.
    pub name: BackendName,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// The pool it belongs to.
    pub pool: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The zone it stands in.
    pub zone: String,
}

/// How far a back end is in its life; later phases are larger.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Takes new work.
    Live,
    /// Finishes its work and takes no new.
    Leaving,
    /// Is no more.
    Gone,
}

/// Who says so.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SignalSource {
    /// The platform's list of machines.
    MachineList,
    /// The back end's own answer or report.
    BackendReport,
    /// An operator's drain order.
    Operator,
    /// Another daemon's rumour.
    Peer,
}

/// A phase as some source states it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, Encode, Decode)]
pub struct BackendPhase {
    /// The back end.
    pub name: BackendName,
    /// The run that is meant.
    pub incarnation: Incarnation,
    /// Its phase.
    pub phase: Phase,
}

/// An input: what a source says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Signal {
    /// Who says so.
    pub source: SignalSource,
    /// What it says.
    pub stated: BackendPhase,
}

/// A change of a back end's phase, to be acted upon in the same step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LifecycleChange {
    /// The phase from now on.
    pub stated: BackendPhase,
    /// Whose word it was.
    pub source: SignalSource,
}

#[derive(Debug, Clone)]
struct Entry {
    incarnation: Incarnation,
    phase: Phase,
    since: Moment,
}

/// Phases of all back ends.
///
/// Invariant: for one incarnation of a back end the phase never goes back, and an older incarnation
/// never replaces a newer one.
#[derive(Debug, Clone, Default)]
pub struct Lifecycle {
    entries: BTreeMap<BackendName, Entry>,
}

impl Lifecycle {
    /// Takes in what a source says; the change, if it is one.
    pub fn observe(&mut self, now: Moment, signal: Signal) -> Option<LifecycleChange> {
        let Signal { source, stated } = signal;
        if let Some(entry) = self.entries.get(&stated.name) {
            let newer_run = stated.incarnation > entry.incarnation;
            let later_phase = stated.incarnation == entry.incarnation && stated.phase > entry.phase;
            if !newer_run && !later_phase {
                return None;
            }
        }
        let entry = Entry { incarnation: stated.incarnation, phase: stated.phase, since: now };
        self.entries.insert(stated.name.clone(), entry);
        Some(LifecycleChange { stated, source })
    }

    /// The phase of one run of a back end; `Gone` when a newer run is known, or none.
    pub fn phase(&self, name: &BackendName, incarnation: Incarnation) -> Phase {
        match self.entries.get(name) {
            Some(entry) if entry.incarnation == incarnation => entry.phase,
            _ => Phase::Gone,
        }
    }

    /// The newest known run of a back end.
    pub fn incarnation(&self, name: &BackendName) -> Option<Incarnation> {
        self.entries.get(name).map(|entry| entry.incarnation)
    }

    /// Forgets back ends that have been gone since before `cutoff`.
    pub fn forget_gone_before(&mut self, cutoff: Moment) {
        self.entries.retain(|_, entry| entry.phase != Phase::Gone || entry.since >= cutoff);
    }
}

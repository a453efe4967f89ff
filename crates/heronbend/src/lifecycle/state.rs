//! Phase tracking for each backend.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::identity::Incarnation;
use crate::Moment;

/// Name of a backend in the platform's machine list.
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

/// A model engine or application server from the machine list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// Name of the backend.
    pub name: BackendName,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Pool that it belongs to.
    pub pool: String,
    /// Address on which it listens for HTTP.
    pub address: SocketAddr,
    /// Zone in which it runs.
    pub zone: String,
}

/// Lifecycle phase of a backend. Later phases compare greater.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Accepts new work.
    Live,
    /// Draining: finishes in-flight work and accepts no new work.
    Leaving,
    /// Terminated.
    Gone,
}

/// Source of a phase report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SignalSource {
    /// The platform's machine list.
    MachineList,
    /// The backend's own response or report.
    BackendReport,
    /// An operator's drain command.
    Operator,
    /// Gossip from another daemon.
    Peer,
}

/// The reported phase of one incarnation of a backend.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, Encode, Decode)]
pub struct BackendPhase {
    /// Name of the backend.
    pub name: BackendName,
    /// Incarnation to which the phase applies.
    pub incarnation: Incarnation,
    /// Phase of that incarnation.
    pub phase: Phase,
}

/// A phase report, the input to [`Lifecycle::observe`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Signal {
    /// Source of the report.
    pub source: SignalSource,
    /// Reported phase.
    pub stated: BackendPhase,
}

/// A change of a backend's phase.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LifecycleChange {
    /// The new phase.
    pub stated: BackendPhase,
    /// Source of the report that caused the change.
    pub source: SignalSource,
}

#[derive(Debug, Clone)]
struct Entry {
    incarnation: Incarnation,
    phase: Phase,
    since: Moment,
}

/// Phases of all known backends.
///
/// Invariant: the phase of an incarnation never moves backwards, and an older incarnation never
/// replaces a newer one.
#[derive(Debug, Clone, Default)]
pub struct Lifecycle {
    entries: BTreeMap<BackendName, Entry>,
}

impl Lifecycle {
    /// Applies a report and returns the resulting change, or `None` if the report is stale.
    pub fn observe(&mut self, now: Moment, signal: Signal) -> Option<LifecycleChange> {
        let Signal { source, stated } = signal;
        if let Some(entry) = self.entries.get(&stated.name) {
            let is_newer_incarnation = stated.incarnation > entry.incarnation;
            let is_later_phase =
                stated.incarnation == entry.incarnation && stated.phase > entry.phase;
            if !is_newer_incarnation && !is_later_phase {
                return None;
            }
        }
        let entry = Entry { incarnation: stated.incarnation, phase: stated.phase, since: now };
        self.entries.insert(stated.name.clone(), entry);
        Some(LifecycleChange { stated, source })
    }

    /// Returns the phase of an incarnation of a backend, or `Gone` if it is not the newest known.
    pub fn phase(&self, name: &BackendName, incarnation: Incarnation) -> Phase {
        match self.entries.get(name) {
            Some(entry) if entry.incarnation == incarnation => entry.phase,
            _ => Phase::Gone,
        }
    }

    /// Returns the newest known incarnation of a backend.
    pub fn incarnation(&self, name: &BackendName) -> Option<Incarnation> {
        self.entries.get(name).map(|entry| entry.incarnation)
    }

    /// Removes backends that have been gone since before `cutoff`.
    pub fn forget_gone_before(&mut self, cutoff: Moment) {
        self.entries.retain(|_, entry| entry.phase != Phase::Gone || entry.since >= cutoff);
    }
}

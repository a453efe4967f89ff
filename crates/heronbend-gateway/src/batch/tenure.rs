//! Runs and adoptions of one job at one daemon, without I/O.
//!
//! Each run belongs to one revision of the job's ownership, so that a job that leaves this daemon
//! and returns starts again from the stored log. An adoption whose write got no answer is repeated
//! with the same condition until the store answers: it either takes effect or conflicts with a
//! newer ownership, which may be this daemon's own.

use crate::ports::Revision;

/// What the stored log holds when a run starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum InitialLog {
    /// Nothing: the job was submitted with this ownership.
    Empty,
    /// Possibly results of former owners, so that it has to be read and sealed.
    Stored,
}

/// Outcome of a write that makes this daemon the owner of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AdoptionOutcome {
    /// The store answered with the current ownership.
    Answered,
    /// The write had no effect.
    NotDone,
    /// The write may have taken effect, or may still do so.
    Unknown,
}

/// State of a job's runs and adoptions.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Tenure {
    /// Revision of the ownership under which the job runs.
    run: Option<Revision>,
    /// Whether the run knows all results of former owners.
    has_whole_log: bool,
    /// Revision of the ownership with which the job was submitted, until a run has started.
    submitted_at: Option<Revision>,
    /// Revision on which an adoption of unknown outcome is conditional.
    in_doubt: Option<Revision>,
}

impl Tenure {
    /// Records that the job was submitted with an ownership at `revision`.
    pub fn submitted(&mut self, revision: Revision) {
        self.submitted_at = Some(revision);
    }

    /// Starts a run under the ownership at `revision`, unless the job runs already.
    pub fn start(&mut self, revision: Revision) -> Option<InitialLog> {
        if self.run.is_some() {
            return None;
        }
        self.run = Some(revision);
        self.has_whole_log = self.submitted_at.take() == Some(revision);
        Some(if self.has_whole_log { InitialLog::Empty } else { InitialLog::Stored })
    }

    /// Records that the run has read and sealed the stored log.
    pub fn log_sealed(&mut self) {
        self.has_whole_log = true;
    }

    /// Whether the run knows all results of former owners.
    pub fn has_whole_log(&self) -> bool {
        self.is_running() && self.has_whole_log
    }

    /// Ends the run.
    pub fn end(&mut self) {
        self.run = None;
    }

    /// Whether the job runs here.
    pub fn is_running(&self) -> bool {
        self.run.is_some()
    }

    /// Whether the run belongs to the ownership at `revision`.
    pub fn runs_under(&self, revision: Revision) -> bool {
        self.run == Some(revision)
    }

    /// Records the outcome of an adoption that was conditional on `revision`.
    pub fn record_adoption(&mut self, revision: Revision, outcome: AdoptionOutcome) {
        match outcome {
            AdoptionOutcome::Answered => self.in_doubt = None,
            // An earlier write with the same condition may still take effect.
            AdoptionOutcome::NotDone => {}
            AdoptionOutcome::Unknown => self.in_doubt = Some(revision),
        }
    }

    /// Whether an adoption has to be repeated. `known` is the newest known revision: if it is newer
    /// than the one that the adoption replaces, the adoption has no further effect.
    pub fn is_adoption_in_doubt(&self, known: Revision) -> bool {
        self.in_doubt == Some(known)
    }
}

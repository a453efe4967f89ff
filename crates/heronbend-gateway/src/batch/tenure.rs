//! Runs of one job at one daemon, without I/O.
//!
//! Each run belongs to one revision of the job's ownership, so that a job that leaves this daemon
//! and returns starts again from the stored log.

use crate::ports::Revision;

/// What the stored log holds when a run starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum InitialLog {
    /// Nothing: the job was submitted with this ownership.
    Empty,
    /// Possibly results of former owners, so that it has to be read and sealed.
    Stored,
}

/// State of a job's runs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Tenure {
    /// Revision of the ownership under which the job runs.
    run: Option<Revision>,
    /// Revision of the ownership with which the job was submitted, until a run has started.
    submitted_at: Option<Revision>,
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
        let is_first = self.submitted_at.take() == Some(revision);
        Some(if is_first { InitialLog::Empty } else { InitialLog::Stored })
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
}

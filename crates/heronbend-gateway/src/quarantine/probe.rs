//! Probes of quarantined requests, which the store grants.
//!
//! The record of a request counts its probes. A probe is granted by replacing the record at its
//! known revision, so only one of several concurrent attempts succeeds. A probe that no server has
//! run shows nothing, so it is returned in the same way.

use std::rc::Rc;

use heronbend::quarantine::Fingerprint;
use heronbend::quarantine::Record;

use super::record;
use crate::gateway::Gateway;

/// A granted probe. Returned to the record on drop unless a server may have run it.
pub struct Probe {
    gateway: Rc<Gateway>,
    request: Fingerprint,
    /// The record that includes the probe.
    record: Record,
    may_have_run: bool,
}

impl Probe {
    /// A probe that `record` has granted.
    pub(super) fn new(gateway: &Rc<Gateway>, request: Fingerprint, record: Record) -> Self {
        Self { gateway: gateway.clone(), request, record, may_have_run: false }
    }

    /// Whether a server may have run the probe.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Records whether a server may have run the probe.
    pub fn set_may_have_run(&mut self, may_have_run: bool) {
        self.may_have_run = may_have_run;
    }
}

impl Drop for Probe {
    fn drop(&mut self) {
        if !self.may_have_run {
            record::return_probe(&self.gateway, self.request, self.record);
        }
    }
}

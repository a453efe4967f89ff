//! Quarantine state of an admitted call or stream across its attempts.

use std::rc::Rc;

use heronbend::placement::AttemptHistory;
use heronbend::quarantine::Refused;
use heronbend::quarantine::SendMode;

use super::isolation::Busy;
use super::probe::Probe;
use super::Isolation;
use crate::attempt::AttemptFailure;
use crate::attempt::OutgoingRequest;
use crate::directory::Server;
use crate::gateway::Gateway;

/// A request that the quarantine has admitted.
pub struct AdmittedRequest {
    mode: SendMode,
    /// The granted probe, which permits only one attempt.
    probe: Option<Probe>,
}

impl AdmittedRequest {
    /// A request that needs no probe.
    pub(super) fn new(mode: SendMode) -> Self {
        Self { mode, probe: None }
    }

    /// A request that is sent as a probe.
    pub(super) fn as_probe(probe: Probe) -> Self {
        Self { mode: SendMode::Probe, probe: Some(probe) }
    }

    /// Admits a request, or returns when to retry it. A request of an accepted job is always
    /// admitted.
    pub async fn admit(gateway: &Rc<Gateway>, outgoing: &OutgoingRequest) -> Result<Self, Refused> {
        if outgoing.is_owed {
            return Ok(Self::new(SendMode::Normal));
        }
        super::admit(gateway, || outgoing.fingerprint(gateway.dialect.headers())).await
    }

    /// How the request may be sent.
    pub fn mode(&self) -> SendMode {
        self.mode
    }

    /// Whether the request may be sent to another server, given the current state of its
    /// fingerprint.
    pub fn may_send(&self, gateway: &Gateway, outgoing: &OutgoingRequest) -> bool {
        if let Some(probe) = &self.probe {
            return !probe.may_have_run();
        }
        outgoing.is_owed
            || super::may_retry(gateway, || outgoing.fingerprint(gateway.dialect.headers()))
    }

    /// Sets in `history` how the request must be isolated from others.
    pub fn set_isolation(
        &self,
        gateway: &Gateway,
        outgoing: &OutgoingRequest,
        history: &mut AttemptHistory,
    ) {
        if outgoing.is_owed {
            return;
        }
        let fingerprint = || outgoing.fingerprint(gateway.dialect.headers());
        super::set_isolation(gateway, self.mode, fingerprint, history);
    }

    /// Records that an attempt is about to be sent. If its outcome stays unknown, it may have run.
    pub fn note_start(&mut self) {
        if let Some(probe) = &mut self.probe {
            probe.set_may_have_run(true);
        }
    }

    /// Records the outcome of an attempt; `failure` is `None` if it succeeded.
    pub fn note_attempt(&mut self, failure: Option<&AttemptFailure>) {
        if let Some(probe) = &mut self.probe {
            probe.set_may_have_run(!failure.is_some_and(AttemptFailure::is_not_run));
        }
    }
}

/// Isolates a server while a suspect request runs there. Returns `None` if `is_alone` is false.
pub async fn isolate(
    gateway: &Rc<Gateway>,
    server: &Server,
    outgoing: &OutgoingRequest,
    is_alone: bool,
) -> Result<Option<Isolation>, Busy> {
    if !is_alone {
        return Ok(None);
    }
    let request = outgoing.fingerprint(gateway.dialect.headers());
    Isolation::acquire(gateway, &server.id, request).await.map(Some)
}

//! Quarantine state of an admitted call or stream across its attempts.

use std::rc::Rc;

use heronbend::placement::AttemptHistory;
use heronbend::quarantine::Refused;
use heronbend::quarantine::SendMode;

use super::isolation::Busy;
use super::Isolation;
use crate::attempt::AttemptFailure;
use crate::attempt::OutgoingRequest;
use crate::directory::Server;
use crate::gateway::Gateway;

/// A request that the quarantine has admitted.
#[derive(Debug, Clone, Copy)]
pub struct AdmittedRequest {
    mode: SendMode,
    /// Whether any attempt was sent to a server. A probe permits only one.
    was_sent: bool,
}

impl AdmittedRequest {
    /// Admits a request, or returns when to retry it. A request of an accepted job is always
    /// admitted.
    pub async fn admit(gateway: &Rc<Gateway>, outgoing: &OutgoingRequest) -> Result<Self, Refused> {
        if outgoing.is_owed {
            return Ok(Self { mode: SendMode::Normal, was_sent: false });
        }
        let fingerprint = || outgoing.fingerprint(gateway.dialect.headers());
        let mode = super::admit(gateway, fingerprint).await?;
        Ok(Self { mode, was_sent: false })
    }

    /// Whether the request may be sent to another server, given the current state of its
    /// fingerprint.
    pub fn may_send(&self, gateway: &Gateway, outgoing: &OutgoingRequest) -> bool {
        if self.mode == SendMode::Probe {
            return !self.was_sent;
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

    /// Records an attempt; `failure` is `None` if it succeeded.
    pub fn note_attempt(&mut self, failure: Option<&AttemptFailure>) {
        let never_sent = matches!(failure, Some(AttemptFailure::NotSent | AttemptFailure::Held));
        self.was_sent |= !never_sent;
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

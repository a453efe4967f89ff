//! A call or a stream on its way to servers, as far as the quarantine is concerned.

use std::rc::Rc;

use heronbend::placement::History;

use super::isolation::Busy;
use super::Isolation;
use super::Refused;
use super::SendMode;
use crate::directory::Server;
use crate::exchange::AttemptFailure;
use crate::exchange::Outgoing;
use crate::gateway::Gateway;

/// How one request may be sent to servers.
#[derive(Debug, Clone, Copy)]
pub struct AdmittedRequest {
    mode: SendMode,
    /// Whether an attempt reached a server: a probe is one run.
    was_sent: bool,
}

impl AdmittedRequest {
    /// Admits a request.
    pub async fn admit(gateway: &Rc<Gateway>, outgoing: &Outgoing) -> Result<Self, Refused> {
        let fingerprint = || outgoing.fingerprint(gateway.dialect.headers());
        let mode = super::admit(gateway, fingerprint).await?;
        Ok(Self { mode, was_sent: false })
    }

    /// Whether it may be sent to one more server, for all that is known of requests like it.
    pub fn may_send(&self, gateway: &Gateway, outgoing: &Outgoing) -> bool {
        if self.mode == SendMode::Probe {
            return !self.was_sent;
        }
        super::may_retry(gateway, || outgoing.fingerprint(gateway.dialect.headers()))
    }

    /// Notes in a request's history how it is kept apart from others.
    pub fn set_isolation(&self, gateway: &Gateway, outgoing: &Outgoing, history: &mut History) {
        let fingerprint = || outgoing.fingerprint(gateway.dialect.headers());
        super::set_isolation(gateway, self.mode, fingerprint, history);
    }

    /// Notes how an attempt ended.
    pub fn note_attempt(&mut self, failure: Option<&AttemptFailure>) {
        let never_sent = matches!(failure, Some(AttemptFailure::NotSent | AttemptFailure::Held));
        self.was_sent |= !never_sent;
    }
}

/// Keeps others from a server while a suspect request runs there; nothing for any other request.
pub async fn isolate(
    gateway: &Rc<Gateway>,
    server: &Server,
    outgoing: &Outgoing,
    is_alone: bool,
) -> Result<Option<Isolation>, Busy> {
    if !is_alone {
        return Ok(None);
    }
    let request = outgoing.fingerprint(gateway.dialect.headers());
    Isolation::acquire(gateway, &server.id, request).await.map(Some)
}

//! A call or a stream on its way to servers, as far as the quarantine is concerned.

use std::rc::Rc;

use heronbend::placement::AttemptHistory;

use super::isolation::Busy;
use super::Isolation;
use super::Pass;
use super::Refused;
use crate::directory::Server;
use crate::exchange::AttemptFailure;
use crate::exchange::Outgoing;
use crate::gateway::Gateway;

/// How one request may be sent to servers.
#[derive(Debug, Clone, Copy)]
pub struct Passage {
    pass: Pass,
    /// Whether an attempt reached a server: a probe is one run.
    has_reached: bool,
}

impl Passage {
    /// Admits a request.
    pub async fn begin(gateway: &Rc<Gateway>, outgoing: &Outgoing) -> Result<Self, Refused> {
        let fingerprint = || outgoing.fingerprint(gateway.dialect.headers());
        let pass = super::admit(gateway, fingerprint).await?;
        Ok(Self { pass, has_reached: false })
    }

    /// Whether it may be sent to one more server, for all that is known of requests like it.
    pub fn is_open(&self, gateway: &Gateway, outgoing: &Outgoing) -> bool {
        if self.pass == Pass::Probe {
            return !self.has_reached;
        }
        super::may_go_on(gateway, || outgoing.fingerprint(gateway.dialect.headers()))
    }

    /// Notes in a request's history how it is kept apart from others.
    pub fn keep_apart(&self, gateway: &Gateway, outgoing: &Outgoing, history: &mut AttemptHistory) {
        let fingerprint = || outgoing.fingerprint(gateway.dialect.headers());
        super::keep_apart(gateway, self.pass, fingerprint, history);
    }

    /// Notes how an attempt ended.
    pub fn note_attempt(&mut self, failure: Option<&AttemptFailure>) {
        let is_unsent = matches!(failure, Some(AttemptFailure::NotSent | AttemptFailure::Held));
        self.has_reached |= !is_unsent;
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
    Isolation::begin(gateway, &server.id, request).await.map(Some)
}

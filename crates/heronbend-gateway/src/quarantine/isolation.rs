//! Suspect requests are kept apart from others, so that the end of a server is plain evidence.
//!
//! Each daemon keeps them apart from what it sends itself. Where one more ending quarantines a request,
//! all daemons together send at most one such request to a server at a time: after a crash all suspects
//! wait for the first server that is back, and would be blamed together. One daemon keeps the servers of
//! which this is asked, by rendezvous. It carries no safety: where it cannot be reached, or daemons
//! differ in who it is, a request that is blamed wrongly comes back by a probe.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use heronbend::identity::NodeId;
use heronbend::quarantine::Fingerprint;
use heronbend::Moment;
use smol::Timer;

use crate::gateway::Gateway;
use crate::peers::client;
use crate::peers::PeerReply;
use crate::peers::PeerRequest;

/// How long a server is kept for one suspect unless it is given back before: a request that ends its
/// server as it begins has done so by then.
const RESERVATION_TIMEOUT: Duration = Duration::from_secs(2);
/// Rest of a suspect that found its server kept for another one: longer than most runs.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Servers that are kept for one suspect each, where this daemon is asked.
#[derive(Default)]
pub struct Reservations {
    until: RefCell<HashMap<String, Moment>>,
}

impl Reservations {
    /// Keeps a server; false while it is kept for another one.
    fn try_reserve(&self, now: Moment, server: &str) -> bool {
        let mut until = self.until.borrow_mut();
        until.retain(|_, until| now < *until);
        if until.contains_key(server) {
            return false;
        }
        until.insert(server.to_owned(), now + RESERVATION_TIMEOUT);
        true
    }

    fn release(&self, server: &str) {
        self.until.borrow_mut().remove(server);
    }
}

/// The server is kept for another suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Busy;

/// A suspect at a server, until this is dropped.
pub struct Isolation {
    gateway: Rc<Gateway>,
    server: String,
    is_reserved: bool,
}

impl Isolation {
    /// Keeps others from a server, where a request that is sent there is suspect.
    pub async fn acquire(
        gateway: &Rc<Gateway>,
        server: &str,
        request: Fingerprint,
    ) -> Result<Self, Busy> {
        gateway.directory.borrow_mut().placer.isolate(server);
        let mut isolation =
            Self { gateway: gateway.clone(), server: server.to_owned(), is_reserved: false };
        let is_last_run = gateway.quarantine.table.borrow().is_one_crash_from_quarantine(request);
        if is_last_run {
            isolation.is_reserved = reserve(gateway, server).await;
            if !isolation.is_reserved {
                Timer::after(BUSY_RETRY_DELAY).await;
                return Err(Busy);
            }
        }
        Ok(isolation)
    }
}

impl Drop for Isolation {
    fn drop(&mut self) {
        self.gateway.directory.borrow_mut().placer.end_isolation(&self.server);
        if self.is_reserved {
            let (gateway, server) = (self.gateway.clone(), std::mem::take(&mut self.server));
            let releasing = async move { release(&gateway, &server).await };
            self.gateway.executor.spawn(releasing).detach();
        }
    }
}

/// The other daemon that keeps a server; nothing where it is this one.
fn remote_coordinator(gateway: &Gateway, server: &str) -> Option<NodeId> {
    let name = gateway.permits.lender(server);
    if name == gateway.identity.node.name {
        return None;
    }
    gateway.members.named(&name)
}

async fn reserve(gateway: &Gateway, server: &str) -> bool {
    let Some(coordinator) = remote_coordinator(gateway, server) else {
        return gateway.quarantine.reservations.try_reserve(gateway.now(), server);
    };
    let request = PeerRequest::Isolate { server: server.to_owned(), is_over: false };
    match client::call(gateway, &coordinator, &request, Duration::ZERO).await {
        Some(PeerReply::Isolated { is_granted }) => is_granted,
        reply => {
            log::info!(
                "event=isolation_unanswered server={server} keeper={coordinator} reply={reply:?}"
            );
            true
        }
    }
}

async fn release(gateway: &Gateway, server: &str) {
    let Some(coordinator) = remote_coordinator(gateway, server) else {
        gateway.quarantine.reservations.release(server);
        return;
    };
    let request = PeerRequest::Isolate { server: server.to_owned(), is_over: true };
    // What is not given back is free again after a while.
    let _ = client::call(gateway, &coordinator, &request, Duration::ZERO).await;
}

/// Answers a daemon that wants a server kept, or gives it back.
pub fn handle(gateway: &Gateway, server: &str, is_over: bool) -> PeerReply {
    let reservations = &gateway.quarantine.reservations;
    if is_over {
        reservations.release(server);
        return PeerReply::Isolated { is_granted: false };
    }
    PeerReply::Isolated { is_granted: reservations.try_reserve(gateway.now(), server) }
}

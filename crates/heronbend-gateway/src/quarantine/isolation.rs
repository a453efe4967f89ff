//! Isolates suspect requests on a server, so that a crash can be attributed to one request.
//!
//! Each daemon isolates suspects from the other requests it sends itself. For requests that are one
//! crash from quarantine, isolation applies across daemons: a coordinator, chosen by rendezvous
//! hashing, reserves each server for one such request at a time. Otherwise all suspects that wait
//! for a restarted server would run there together and be blamed together.
//!
//! Reservations are best effort. If the coordinator is unreachable, or daemons disagree about who
//! it is, a wrongly blamed request is released by a probe.

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

/// How long a reservation lasts if it is not released. Requests that crash servers on start do so
/// within this time.
const RESERVATION_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before another attempt when the server is reserved. Longer than most runs.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Servers reserved for one suspect request each, at their coordinator.
#[derive(Default)]
pub struct Reservations {
    until: RefCell<HashMap<String, Moment>>,
}

impl Reservations {
    /// Reserves a server. Returns false if it is already reserved.
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

/// The server is reserved for another suspect request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Busy;

/// Isolation of a suspect request on a server, released on drop.
pub struct Isolation {
    gateway: Rc<Gateway>,
    server: String,
    is_reserved: bool,
}

impl Isolation {
    /// Isolates a suspect request on a server. Fails after a short delay if the server is reserved.
    pub async fn acquire(
        gateway: &Rc<Gateway>,
        server: &str,
        request: Fingerprint,
    ) -> Result<Self, Busy> {
        gateway.directory.borrow_mut().placer.add_suspect(server);
        let mut isolation =
            Self { gateway: gateway.clone(), server: server.to_owned(), is_reserved: false };
        let needs_reservation =
            gateway.quarantine.table.borrow().is_one_crash_from_quarantine(request);
        if needs_reservation {
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
        self.gateway.directory.borrow_mut().placer.remove_suspect(&self.server);
        if self.is_reserved {
            let (gateway, server) = (self.gateway.clone(), std::mem::take(&mut self.server));
            let releasing = async move { release(&gateway, &server).await };
            self.gateway.executor.spawn(releasing).detach();
        }
    }
}

/// The daemon that coordinates reservations of a server, or `None` if it is the local one.
fn remote_coordinator(gateway: &Gateway, server: &str) -> Option<NodeId> {
    let name = gateway.permits.issuer(server);
    if name == gateway.identity.node.name {
        return None;
    }
    gateway.members.find_by_name(&name)
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
    // On failure the reservation expires.
    let _ = client::call(gateway, &coordinator, &request, Duration::ZERO).await;
}

/// Handles a peer's request to reserve a server, or to release it if `is_over`.
pub fn handle(gateway: &Gateway, server: &str, is_over: bool) -> PeerReply {
    let reservations = &gateway.quarantine.reservations;
    if is_over {
        reservations.release(server);
        return PeerReply::Isolated { is_granted: false };
    }
    PeerReply::Isolated { is_granted: reservations.try_reserve(gateway.now(), server) }
}

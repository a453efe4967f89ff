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
const HELD: Duration = Duration::from_secs(2);
/// Rest of a suspect that found its server kept for another one: longer than most runs.
const BUSY_REST: Duration = Duration::from_millis(50);

/// Servers that are kept for one suspect each, where this daemon is asked.
#[derive(Default)]
pub struct Keeper {
    until: RefCell<HashMap<String, Moment>>,
}

impl Keeper {
    /// Keeps a server; false while it is kept for another one.
    fn take(&self, now: Moment, server: &str) -> bool {
        let mut until = self.until.borrow_mut();
        until.retain(|_, until| now < *until);
        if until.contains_key(server) {
            return false;
        }
        until.insert(server.to_owned(), now + HELD);
        true
    }

    fn give_back(&self, server: &str) {
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
    is_kept: bool,
}

impl Isolation {
    /// Keeps others from a server, where a request that is sent there is suspect.
    pub async fn begin(
        gateway: &Rc<Gateway>,
        server: &str,
        request: Fingerprint,
    ) -> Result<Self, Busy> {
        gateway.directory.borrow_mut().placer.add_suspect(server);
        let mut isolation =
            Self { gateway: gateway.clone(), server: server.to_owned(), is_kept: false };
        let is_last_run = gateway.quarantine.table.borrow().is_one_crash_from_quarantine(request);
        if is_last_run {
            isolation.is_kept = keep(gateway, server).await;
            if !isolation.is_kept {
                Timer::after(BUSY_REST).await;
                return Err(Busy);
            }
        }
        Ok(isolation)
    }
}

impl Drop for Isolation {
    fn drop(&mut self) {
        self.gateway.directory.borrow_mut().placer.remove_suspect(&self.server);
        if self.is_kept {
            let (gateway, server) = (self.gateway.clone(), std::mem::take(&mut self.server));
            let giving_back = async move { give_back(&gateway, &server).await };
            self.gateway.executor.spawn(giving_back).detach();
        }
    }
}

/// The other daemon that keeps a server; nothing where it is this one.
fn keeper(gateway: &Gateway, server: &str) -> Option<NodeId> {
    let name = gateway.permits.lender(server);
    if name == gateway.identity.node.name {
        return None;
    }
    gateway.members.named(&name)
}

async fn keep(gateway: &Gateway, server: &str) -> bool {
    let Some(keeper) = keeper(gateway, server) else {
        return gateway.quarantine.keeper.take(gateway.now(), server);
    };
    let request = PeerRequest::Isolate { server: server.to_owned(), is_over: false };
    match client::call(gateway, &keeper, &request, Duration::ZERO).await {
        Some(PeerReply::Isolated { is_granted }) => is_granted,
        reply => {
            log::info!(
                "event=isolation_unanswered server={server} keeper={keeper} reply={reply:?}"
            );
            true
        }
    }
}

async fn give_back(gateway: &Gateway, server: &str) {
    let Some(keeper) = keeper(gateway, server) else {
        gateway.quarantine.keeper.give_back(server);
        return;
    };
    let request = PeerRequest::Isolate { server: server.to_owned(), is_over: true };
    // What is not given back is free again after a while.
    let _ = client::call(gateway, &keeper, &request, Duration::ZERO).await;
}

/// Answers a daemon that wants a server kept, or gives it back.
pub fn answer(gateway: &Gateway, server: &str, is_over: bool) -> PeerReply {
    let keeper = &gateway.quarantine.keeper;
    if is_over {
        keeper.give_back(server);
        return PeerReply::Isolated { is_granted: false };
    }
    PeerReply::Isolated { is_granted: keeper.take(gateway.now(), server) }
}

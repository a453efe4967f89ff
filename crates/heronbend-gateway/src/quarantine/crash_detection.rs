//! Detects server crashes from broken connections.
//!
//! The client sees the same broken connection whether the link failed or the server crashed. A new
//! connection tells them apart: the host refuses it if the process has exited. The address is
//! probed several times, since a process takes a moment to close all its sockets. Crashes that the
//! probes miss are detected later, by the removal of the server's registration or by a report from
//! another daemon.

use std::borrow::Borrow;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use heronbend::placement::AttemptOutcome;
use smol::Timer;

use super::gossip;
use super::on_change;
use super::Origin;
use crate::attempt::OutgoingRequest;
use crate::directory::Server;
use crate::gateway::Gateway;
use crate::http::client::ProbeResult;

/// Delays before each probe of a server's address. The last one covers slow process exits on busy
/// hosts.
const PROBE_DELAYS: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(60), Duration::from_millis(400)];

/// Records that a request's connection to a server broke after `events` response events. If it is
/// the request of an accepted job, only looks whether the server is gone, and tells the others.
///
/// Only an attempt without events counts. Other requests resume after the events they received, so
/// a request that crashes servers at a later event receives none in its next attempt.
pub fn note_broken_connection(
    gateway: &Rc<Gateway>,
    server: &Rc<Server>,
    outgoing: &OutgoingRequest,
    events: u64,
) {
    let request = outgoing.fingerprint(gateway.dialect.headers());
    let others = gateway.directory.borrow().placer.in_flight(&server.id).saturating_sub(1);
    log::info!(
        "event=attempt_broken id={} request={request} server={} beside={others} events={events}",
        outgoing.id,
        server.id
    );
    if events > 0 {
        return;
    }
    if outgoing.is_owed {
        gateway.quarantine.owed_losses.borrow_mut().insert(server.id.clone());
    } else {
        gateway.quarantine.table.borrow_mut().note_broken_connection(
            gateway.now(),
            request,
            &server.id,
        );
    }
    probe_server(gateway, server);
}

/// Returns the handler for an attempt that is dropped before it ends. Unless the request
/// `is_answered` by then, its caller disconnected while the server ran it. The connection to the
/// server is closed, so a crash can only be detected in other ways.
pub fn disconnect_handler(
    gateway: &Rc<Gateway>,
    server: &Rc<Server>,
    outgoing: impl Borrow<OutgoingRequest> + 'static,
    is_answered: impl Fn() -> bool + 'static,
) -> impl FnOnce() + 'static {
    let (gateway, server) = (gateway.clone(), server.clone());
    move || {
        if is_answered() || outgoing.borrow().is_owed {
            return;
        }
        let request = outgoing.borrow().fingerprint(gateway.dialect.headers());
        let mut table = gateway.quarantine.table.borrow_mut();
        table.note_caller_disconnect(gateway.now(), request, &server.id);
    }
}

/// Probes a server to find out whether it is gone, unless probes are already in progress.
pub fn probe_server(gateway: &Rc<Gateway>, server: &Server) {
    if gateway.quarantine.probing.borrow_mut().insert(server.id.clone()) {
        let probes = run_probes(gateway.clone(), server.id.clone(), server.address);
        gateway.executor.spawn(probes).detach();
    }
}

async fn run_probes(gateway: Rc<Gateway>, server: String, address: SocketAddr) {
    for delay in PROBE_DELAYS {
        Timer::after(delay).await;
        let reach = gateway.server_connections.probe(address).await;
        log::info!("event=server_looked_at server={server} new_connection={}", reach.name());
        if reach == ProbeResult::Refused {
            note_server_gone(&gateway, &server);
            if gateway.quarantine.owed_losses.borrow().contains(&server) {
                gossip::announce_exit(&gateway, &server);
            }
            break;
        }
    }
    gateway.quarantine.owed_losses.borrow_mut().remove(&server);
    gateway.quarantine.probing.borrow_mut().remove(&server);
}

/// Handles the absence of a server from a complete list of registrations.
///
/// The store loses registrations in an outage, while the servers run on. Before that blames a
/// request, the server is probed.
pub fn note_server_unlisted(gateway: &Rc<Gateway>, server: &Rc<Server>) {
    if gateway.quarantine.table.borrow().awaits_exit(gateway.now(), &server.id) {
        let confirming = confirm_exit(gateway.clone(), server.clone());
        gateway.executor.spawn(confirming).detach();
    } else {
        note_server_gone(gateway, &server.id);
    }
}

async fn confirm_exit(gateway: Rc<Gateway>, server: Rc<Server>) {
    for delay in PROBE_DELAYS {
        Timer::after(delay).await;
        let reach = gateway.server_connections.probe(server.address).await;
        let has_successor = gateway.directory.borrow().is_address_registered(server.address);
        log::info!(
            "event=unlisted_server_looked_at server={} new_connection={} successor={has_successor}",
            server.id,
            reach.name()
        );
        match reach {
            ProbeResult::Accepted if !has_successor => return,
            ProbeResult::Accepted | ProbeResult::Refused => break,
            ProbeResult::NoResponse => {}
        }
    }
    note_server_gone(&gateway, &server.id);
}

/// Records that a server is gone without having drained. Its registration may take seconds to
/// expire.
pub fn note_server_gone(gateway: &Rc<Gateway>, server: &str) {
    let now = gateway.now();
    gateway.directory.borrow_mut().placer.record_outcome(now, server, AttemptOutcome::ServerExited);
    if gateway.quarantine.is_empty() {
        return;
    }
    let confirmed = gateway.quarantine.table.borrow_mut().note_server_gone(now, server);
    if !confirmed.is_empty() {
        gateway.metrics.servers_crashed.inc();
        log::info!("event=server_ended server={server} requests={}", confirmed.len());
    }
    for (request, change) in confirmed {
        on_change(gateway, request, change, Origin::Here);
    }
}

//! What an attempt that broke off says of its server.
//!
//! A link that breaks and a server that ends look alike to whoever waits for the answer. A new
//! connection tells them apart: where a process has ended its machine refuses it. A process does not
//! end all at one moment, so that the address is looked at more than once; later on the store's entry
//! of the server tells, or another daemon.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use heronbend::placement::AttemptOutcome;
use smol::Timer;

use super::note;
use super::By;
use crate::directory::Server;
use crate::exchange::Outgoing;
use crate::gateway::Gateway;
use crate::http::client::Reach;

/// Rests before the looks at a server's address: at once, and when the last of its sockets is closed
/// even on a busy machine.
const LOOKS: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(60), Duration::from_millis(400)];

/// Notes that a request's connection to a server broke after `events` of its answer. A request that
/// had some went on well at that server: the next one goes on behind them, so that one which ends its
/// servers at a later event has its first one there.
pub fn note_break(gateway: &Rc<Gateway>, server: &Rc<Server>, outgoing: &Outgoing, events: u64) {
    let request = outgoing.fingerprint(gateway.dialect.headers());
    let beside = gateway.directory.borrow().placer.in_flight(&server.id).saturating_sub(1);
    log::info!(
        "event=attempt_broken id={} request={request} server={} beside={beside} events={events}",
        outgoing.id,
        server.id
    );
    if events > 0 {
        return;
    }
    gateway.quarantine.table.borrow_mut().note_broken_connection(
        gateway.now(),
        request,
        &server.id,
    );
    look_at(gateway, server);
}

/// Notes that the caller of a request left while a server had it: the connection is closed, and nothing
/// here will tell what becomes of the server. Whoever finds it gone later on does.
pub fn note_left(gateway: &Rc<Gateway>, server: &Server, outgoing: &Outgoing) {
    let request = outgoing.fingerprint(gateway.dialect.headers());
    gateway.quarantine.table.borrow_mut().note_caller_disconnect(
        gateway.now(),
        request,
        &server.id,
    );
}

/// Looks whether a server is gone. One series of looks is enough for all that ran there.
pub fn look_at(gateway: &Rc<Gateway>, server: &Server) {
    if gateway.quarantine.looking.borrow_mut().insert(server.id.clone()) {
        let looking = look(gateway.clone(), server.id.clone(), server.address);
        gateway.executor.spawn(looking).detach();
    }
}

async fn look(gateway: Rc<Gateway>, server: String, address: SocketAddr) {
    for rest in LOOKS {
        Timer::after(rest).await;
        let reach = gateway.servers.probe(address).await;
        log::info!("event=server_looked_at server={server} new_connection={}", reach.name());
        if reach == Reach::Refused {
            note_gone(&gateway, &server);
            break;
        }
    }
    gateway.quarantine.looking.borrow_mut().remove(&server);
}

/// Notes that a server is gone without having said that it would leave. Its entry may take seconds to
/// lapse.
pub fn note_gone(gateway: &Rc<Gateway>, server: &str) {
    let now = gateway.now();
    gateway.directory.borrow_mut().placer.record_outcome(now, server, AttemptOutcome::ServerExited);
    if gateway.quarantine.is_empty() {
        return;
    }
    let confirmed = gateway.quarantine.table.borrow_mut().note_server_gone(now, server);
    if !confirmed.is_empty() {
        gateway.metrics.servers_ended.inc();
        log::info!("event=server_ended server={server} requests={}", confirmed.len());
    }
    for (request, change) in confirmed {
        note(gateway, request, change, By::Here);
    }
}

//! What an attempt that broke off says of its server.
//!
//! A link that breaks and a server that ends look alike to whoever waits for the answer. A new
//! connection tells them apart: where a process has ended its machine refuses it.

use std::rc::Rc;

use smol::channel::bounded;

use crate::directory::Server;
use crate::exchange::Outgoing;
use crate::gateway::Gateway;
use crate::http::client::Reach;

/// Finds out whether a server ended while it ran a request, after `events` of its answer, and logs it.
/// Goes on if its caller leaves.
pub async fn look(gateway: &Rc<Gateway>, server: &Rc<Server>, outgoing: &Outgoing, events: u64) {
    let (done, looked) = bounded::<()>(1);
    let (gateway, server) = (gateway.clone(), server.clone());
    let id = outgoing.id.clone();
    let fingerprint = outgoing.fingerprint(gateway.dialect.headers());
    let executor = gateway.executor.clone();
    let looking = async move {
        let beside = gateway.directory.borrow().placer.in_flight(&server.id).saturating_sub(1);
        let reach = gateway.servers.probe(server.address).await;
        log::info!(
            "event=attempt_broken id={id} request={fingerprint} server={} new_connection={} beside={beside} events={events}",
            server.id,
            reach.name()
        );
        if reach == Reach::Refused {
            gateway.metrics.servers_ended.inc();
        }
        drop(done);
    };
    executor.spawn(looking).detach();
    // Ends with an error once the sender is dropped.
    let _ = looked.recv().await;
}

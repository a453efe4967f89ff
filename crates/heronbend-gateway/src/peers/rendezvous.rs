//! Meets other daemons through the store when no seed leads to one.
//!
//! A daemon that has seen no live peer for a while, although it has seeds, writes its address to the
//! store and pings the addresses that others have written there. Nothing is written or read while
//! any peer is alive. There is one object per daemon name; a restarted daemon replaces its own.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use serde::Deserialize;
use serde::Serialize;
use smol::Timer;

use crate::gateway::Gateway;
use crate::list_pages;
use crate::ports::Condition;
use crate::ports::Object;
use crate::ports::ObjectStore;
use crate::ports::StoreError;

/// Object kind of the addresses.
pub const ADDRESSES: &str = "heronbend-addresses";

/// Time without a live peer after which the store is asked. Seeds answer sooner.
const ALONE_LIMIT: Duration = Duration::from_secs(2);
/// Interval between checks whether this daemon is alone.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Delay after the first read; doubled after each further one. Daemons that are all cut off from
/// each other share the reads that the store allows.
const READ_DELAY: Duration = Duration::from_secs(2);
const MAX_READ_DELAY: Duration = Duration::from_secs(30);

/// Number of addresses that are pinged. One peer that answers introduces the others.
const MAX_PINGED: usize = 16;

/// Contents of an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct PeerAddress {
    /// Address for peers.
    address: SocketAddr,
}

/// Runs for the lifetime of the daemon, whose address for peers is `address`.
pub async fn run(gateway: Rc<Gateway>, address: SocketAddr) {
    loop {
        wait_until_alone(&gateway).await;
        let mut is_announced = false;
        let mut delay = READ_DELAY;
        while gateway.has_lost_all_peers() {
            is_announced = is_announced || announce(&gateway, PeerAddress { address }).await;
            read(&gateway, address).await;
            Timer::after(delay).await;
            delay = (delay * 2).min(MAX_READ_DELAY);
        }
        gateway.met_addresses.borrow_mut().clear();
    }
}

/// Waits until no peer has been alive for [`ALONE_LIMIT`].
async fn wait_until_alone(gateway: &Gateway) {
    let mut alone_since = gateway.now();
    while gateway.now() < alone_since + ALONE_LIMIT {
        Timer::after(CHECK_INTERVAL).await;
        if !gateway.has_lost_all_peers() {
            alone_since = gateway.now();
        }
    }
}

/// Writes this daemon's address; returns whether the store has it.
async fn announce(gateway: &Gateway, own: PeerAddress) -> bool {
    let name = &gateway.identity.node.name.0;
    let content = serde_json::json!(own);
    let created = gateway.store.create(ADDRESSES, name, content.clone()).await;
    let written = match created {
        Err(StoreError::Conflict(_)) => {
            gateway.store.replace(ADDRESSES, name, content, Condition::Any).await
        }
        created => created,
    };
    match written {
        Ok(_) => {
            log::info!("event=address_announced address={}", own.address);
            true
        }
        Err(error) => {
            log::warn!("event=address_not_announced error=\"{error}\"");
            false
        }
    }
}

/// Reads the addresses of other daemons, which are pinged from then on.
async fn read(gateway: &Gateway, own: SocketAddr) {
    let mut addresses = Vec::new();
    let listed = list_pages::read(&gateway.store, ADDRESSES, None, |page| {
        addresses.extend(page.iter().filter_map(peer_address).filter(|other| *other != own));
        Ok(())
    });
    match listed.await {
        Ok(_) => {
            log::info!("event=addresses_read addresses={}", addresses.len());
            let pinged = addresses.choose_multiple(&mut rand::rng(), MAX_PINGED).copied();
            *gateway.met_addresses.borrow_mut() = pinged.collect();
        }
        Err(error) => log::warn!("event=addresses_not_read error=\"{error}\""),
    }
}

fn peer_address(object: &Object) -> Option<SocketAddr> {
    match serde_json::from_value::<PeerAddress>(object.content.clone()) {
        Ok(peer) => Some(peer.address),
        Err(error) => {
            log::warn!("event=address_malformed name={} error=\"{error}\"", object.name);
            None
        }
    }
}

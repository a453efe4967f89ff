//! Carries out what the placement decides: has texts wait for their places, and counts what is sent.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use event_listener::Event;
use heronbend::placement::AttemptHistory;
use heronbend::placement::Exclusion;
use heronbend::placement::Requirements;
use heronbend::placement::ServerKey;
use heronbend::placement::TicketKey;
use heronbend::placement::Urgency;
use heronbend::placement::VersionStatus;
use smol::channel::bounded;
use smol::channel::Receiver;
use smol::channel::Sender;
use smol::Timer;

use crate::directory::Server;
use crate::exchange::CountedAttempt;
use crate::gateway::Gateway;
use crate::permits;
use crate::wait;

/// Longest wait until places are looked for again without news: servers that are avoided, cold or
/// loading become usable by the mere passing of time.
const RECHECK: Duration = Duration::from_millis(100);
/// Texts that waited longer than this are logged with what held them up.
const LONG_WAIT: Duration = Duration::from_millis(500);

/// A place for a text, which it holds until it is dropped.
pub struct Placed {
    /// The server.
    pub server: Rc<Server>,
    /// Its key.
    pub key: ServerKey,
    /// Whether the server is known to have the version that is needed.
    pub version_status: VersionStatus,
    /// Counts the text at the server.
    pub counted: CountedAttempt,
}

/// Texts that wait here for places.
#[derive(Default)]
pub struct Places {
    waiting: RefCell<HashMap<TicketKey, Sender<Placed>>>,
    is_placing: Cell<bool>,
    /// Notified when a place may have become free or a server has changed.
    pub changed: Event,
}

/// What requests to a service need, which hold to `homes`.
pub fn need(
    gateway: &Gateway,
    service: &str,
    model: Option<(&str, u64)>,
    homes: Option<&BTreeSet<String>>,
) -> Requirements {
    let placer = &mut gateway.directory.borrow_mut().placer;
    Requirements {
        service: placer.service(service),
        model: model.map(|(name, min_version)| (placer.model(name), min_version)),
        allowed_regions: homes.map(|homes| placer.region_set(homes.iter().map(String::as_str))),
    }
}

/// A text that waits; it leaves the queue when dropped.
struct Ticket<'a> {
    gateway: &'a Gateway,
    key: TicketKey,
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        self.gateway.places.waiting.borrow_mut().remove(&self.key);
        self.gateway.directory.borrow_mut().placer.cancel(self.key);
    }
}

/// Waits for a place for a text.
pub async fn text(
    gateway: &Rc<Gateway>,
    item: &str,
    need: Requirements,
    urgency: Urgency,
    history: AttemptHistory,
) -> Placed {
    let begun = gateway.now();
    loop {
        let (ticket, placed) = enqueue(gateway, need, urgency, history.clone());
        if let Ok(placed) = placed.try_recv() {
            return placed;
        }
        let obstacle = obstacle(gateway, &need, ticket.key);
        if let Ok(placed) = placed.recv().await {
            log_wait(gateway, item, &placed, begun, obstacle);
            return placed;
        }
        // The place that was chosen is gone, which is logged there.
        Timer::after(RECHECK).await;
    }
}

/// Has a text wait, and gives it a place at once if there is one.
fn enqueue(
    gateway: &Rc<Gateway>,
    need: Requirements,
    urgency: Urgency,
    history: AttemptHistory,
) -> (Ticket<'_>, Receiver<Placed>) {
    let (sender, placed) = bounded(1);
    let key = {
        let now = gateway.now();
        let placer = &mut gateway.directory.borrow_mut().placer;
        placer.enqueue(now, need, urgency, history)
    };
    gateway.places.waiting.borrow_mut().insert(key, sender);
    place_waiting(gateway);
    if !gateway.places.is_placing.replace(true) {
        gateway.executor.spawn(keep_placing(gateway.clone())).detach();
    }
    (Ticket { gateway, key }, placed)
}

/// What holds a text up: which servers it cannot have, and how many texts come before it.
fn obstacle(
    gateway: &Gateway,
    need: &Requirements,
    ticket: TicketKey,
) -> (Option<Exclusion>, usize) {
    let placer = &gateway.directory.borrow().placer;
    let behind = placer.queue_position(ticket).unwrap_or(0);
    (placer.main_exclusion(gateway.now(), need), behind)
}

fn log_wait(
    gateway: &Gateway,
    item: &str,
    placed: &Placed,
    begun: heronbend::Moment,
    (reason, behind): (Option<Exclusion>, usize),
) {
    let waited = gateway.now().saturating_sub(begun);
    gateway.metrics.place_wait.observe(waited.as_secs_f64());
    if waited >= LONG_WAIT {
        log::info!(
            "event=item_waited item={item} server={} waited_ms={} behind={behind} servers={}",
            placed.server.id,
            waited.as_millis(),
            reason.map_or("none", Exclusion::name)
        );
    }
}

/// Gives free places to texts while some wait.
async fn keep_placing(gateway: Rc<Gateway>) {
    loop {
        let changed = gateway.places.changed.listen();
        place_waiting(&gateway);
        if gateway.places.waiting.borrow().is_empty() {
            gateway.places.is_placing.set(false);
            return;
        }
        wait::at_most(RECHECK, changed).await;
    }
}

/// Gives the places that are free now to the most urgent texts.
fn place_waiting(gateway: &Rc<Gateway>) {
    loop {
        let now = gateway.now();
        let next = gateway.directory.borrow_mut().next_placed(now, &gateway.servers);
        let Some((ticket, choice)) = next else {
            break;
        };
        let server = gateway.directory.borrow().chosen(choice.server);
        let sender = gateway.places.waiting.borrow_mut().remove(&ticket);
        let Some((server, sender)) = server.zip(sender) else {
            log::error!("event=place_without_taker server={:?}", choice.server);
            continue;
        };
        let counted = CountedAttempt::begin(gateway, &server);
        let placed =
            Placed { server, key: choice.server, version_status: choice.version_status, counted };
        // A text that is gone gives its place back.
        let _ = sender.try_send(placed);
    }
    permits::ask(gateway);
}

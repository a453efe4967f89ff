//! Queue of batch items that wait for a free slot on a server.

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

use crate::attempt::AttemptGuard;
use crate::directory::Server;
use crate::gateway::Gateway;
use crate::permits;
use crate::wait;

/// Maximum time between placement attempts. Servers in backoff, cold servers and servers that load
/// a version become eligible by time alone.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Items that waited at least this long are logged with the cause of the delay.
const LONG_WAIT_LOG_THRESHOLD: Duration = Duration::from_millis(500);

/// A slot on a server, which is occupied until this value is dropped.
pub struct AssignedSlot {
    /// The server.
    pub server: Rc<Server>,
    /// Placement key of the server.
    pub key: ServerKey,
    /// Whether the server is known to hold the required version.
    pub version_status: VersionStatus,
    /// Counts the item as in flight on the server.
    pub guard: AttemptGuard,
}

/// Batch items that wait for a slot.
#[derive(Default)]
pub struct SlotQueue {
    waiting: RefCell<HashMap<TicketKey, Sender<AssignedSlot>>>,
    is_assigning: Cell<bool>,
    /// Notified when a slot may have become free or a server has changed.
    pub changed: Event,
}

/// Placement requirements of requests to `service`, restricted to `allowed_regions`. `model` is the
/// name and the minimum version of a model.
pub fn requirements(
    gateway: &Gateway,
    service: &str,
    model: Option<(&str, u64)>,
    allowed_regions: Option<&BTreeSet<String>>,
) -> Requirements {
    let placer = &mut gateway.directory.borrow_mut().placer;
    Requirements {
        service: placer.service(service),
        model: model.map(|(name, min_version)| (placer.model(name), min_version)),
        allowed_regions: allowed_regions
            .map(|allowed_regions| placer.region_set(allowed_regions.iter().map(String::as_str))),
    }
}

/// A queued item; removed from the queue on drop.
struct Ticket<'a> {
    gateway: &'a Gateway,
    key: TicketKey,
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        self.gateway.slot_queue.waiting.borrow_mut().remove(&self.key);
        self.gateway.directory.borrow_mut().placer.cancel(self.key);
    }
}

/// Waits until a slot is assigned to the batch item `item`.
pub async fn acquire_slot(
    gateway: &Rc<Gateway>,
    item: &str,
    requirements: Requirements,
    urgency: Urgency,
    history: AttemptHistory,
) -> AssignedSlot {
    let started_at = gateway.now();
    loop {
        let (ticket, assigned) = enqueue(gateway, requirements, urgency, history.clone());
        if let Ok(assigned) = assigned.try_recv() {
            return assigned;
        }
        let delay_cause = delay_cause(gateway, &requirements, ticket.key);
        if let Ok(assigned) = assigned.recv().await {
            log_wait(gateway, item, &assigned, started_at, delay_cause);
            return assigned;
        }
        // The chosen server is unknown, which has been logged; try again.
        Timer::after(RECHECK_INTERVAL).await;
    }
}

/// Adds an item to the queue and assigns free slots at once.
fn enqueue(
    gateway: &Rc<Gateway>,
    requirements: Requirements,
    urgency: Urgency,
    history: AttemptHistory,
) -> (Ticket<'_>, Receiver<AssignedSlot>) {
    let (sender, assigned) = bounded(1);
    let key = {
        let now = gateway.now();
        let placer = &mut gateway.directory.borrow_mut().placer;
        placer.enqueue(now, requirements, urgency, history)
    };
    gateway.slot_queue.waiting.borrow_mut().insert(key, sender);
    assign_free_slots(gateway);
    if !gateway.slot_queue.is_assigning.replace(true) {
        gateway.executor.spawn(run_assignment_loop(gateway.clone())).detach();
    }
    (Ticket { gateway, key }, assigned)
}

/// Returns the main reason why servers are excluded for the item, and its position in the queue.
fn delay_cause(
    gateway: &Gateway,
    requirements: &Requirements,
    ticket: TicketKey,
) -> (Option<Exclusion>, usize) {
    let placer = &gateway.directory.borrow().placer;
    let behind = placer.queue_position(ticket).unwrap_or(0);
    (placer.main_exclusion(gateway.now(), requirements), behind)
}

fn log_wait(
    gateway: &Gateway,
    item: &str,
    assigned: &AssignedSlot,
    started_at: heronbend::Moment,
    (reason, behind): (Option<Exclusion>, usize),
) {
    let waited = gateway.now().saturating_sub(started_at);
    gateway.metrics.slot_wait.observe(waited.as_secs_f64());
    if waited >= LONG_WAIT_LOG_THRESHOLD {
        log::info!(
            "event=item_waited item={item} server={} waited_ms={} behind={behind} servers={}",
            assigned.server.id,
            waited.as_millis(),
            reason.map_or("none", Exclusion::name)
        );
    }
}

/// Assigns free slots until the queue is empty.
async fn run_assignment_loop(gateway: Rc<Gateway>) {
    loop {
        let changed = gateway.slot_queue.changed.listen();
        assign_free_slots(&gateway);
        if gateway.slot_queue.waiting.borrow().is_empty() {
            gateway.slot_queue.is_assigning.set(false);
            return;
        }
        wait::at_most(RECHECK_INTERVAL, changed).await;
    }
}

/// Assigns all free slots, to the most urgent items first.
fn assign_free_slots(gateway: &Rc<Gateway>) {
    loop {
        let now = gateway.now();
        let next = gateway.directory.borrow_mut().place_next(now, &gateway.server_connections);
        let Some((ticket, choice)) = next else {
            break;
        };
        let server = gateway.directory.borrow().by_key(choice.server);
        let sender = gateway.slot_queue.waiting.borrow_mut().remove(&ticket);
        let Some((server, sender)) = server.zip(sender) else {
            log::error!("event=place_without_taker server={:?}", choice.server);
            continue;
        };
        let guard = AttemptGuard::start(gateway, &server);
        let assigned = AssignedSlot {
            server,
            key: choice.server,
            version_status: choice.version_status,
            guard,
        };
        // If the item was cancelled, dropping the slot frees it.
        let _ = sender.try_send(assigned);
    }
    permits::request_permits(gateway);
}

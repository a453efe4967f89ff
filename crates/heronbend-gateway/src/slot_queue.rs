//! Queue of batch items that wait for a free slot on a server.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use event_listener::Event;
use heronbend::placement::Assignment;
use heronbend::placement::AttemptHistory;
use heronbend::placement::Choice;
use heronbend::placement::Exclusion;
use heronbend::placement::Requirements;
use heronbend::placement::Run;
use heronbend::placement::RunKey;
use heronbend::placement::ServerKey;
use heronbend::placement::TicketKey;
use heronbend::placement::Urgency;
use heronbend::placement::VersionStatus;
use heronbend::placement::Work;
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
    /// Running items that may move to a faster server; empty unless items are scheduled by slack.
    running: RefCell<HashMap<RunKey, Sender<AssignedSlot>>>,
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

/// A running item that may be offered a slot on a faster server; withdrawn on drop.
pub struct RunRegistration {
    gateway: Rc<Gateway>,
    key: RunKey,
    offer: Receiver<AssignedSlot>,
}

impl RunRegistration {
    /// Registers a running item.
    pub fn new(gateway: &Rc<Gateway>, run: Run) -> Self {
        let (sender, offer) = bounded(1);
        let key = gateway.directory.borrow_mut().placer.run_started(run);
        gateway.slot_queue.running.borrow_mut().insert(key, sender);
        Self { gateway: gateway.clone(), key, offer }
    }

    /// Updates the expected number of remaining events. The item may be offered a slot at once.
    pub fn update(&self, remaining: u32) {
        let now = self.gateway.now();
        self.gateway.directory.borrow_mut().placer.run_progressed(self.key, remaining);
        assign_free_slots(&self.gateway);
        if self.gateway.directory.borrow().placer.has_late_run(now) {
            start_assignment_loop(&self.gateway);
        }
    }

    /// Waits for a slot on a faster server. The item must then end its current attempt.
    pub async fn offered_slot(&self) -> AssignedSlot {
        match self.offer.recv().await {
            Ok(assigned) => assigned,
            Err(_) => std::future::pending().await,
        }
    }
}

impl Drop for RunRegistration {
    fn drop(&mut self) {
        self.gateway.slot_queue.running.borrow_mut().remove(&self.key);
        self.gateway.directory.borrow_mut().placer.run_ended(self.key);
    }
}

/// Waits until a slot is assigned to the batch item `item`.
pub async fn acquire_slot(
    gateway: &Rc<Gateway>,
    item: &str,
    requirements: Requirements,
    urgency: Urgency,
    history: AttemptHistory,
    work: Option<Work>,
) -> AssignedSlot {
    let started_at = gateway.now();
    loop {
        let (ticket, assigned) = enqueue(gateway, requirements, urgency, history.clone(), work);
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
    work: Option<Work>,
) -> (Ticket<'_>, Receiver<AssignedSlot>) {
    let (sender, assigned) = bounded(1);
    let key = {
        let now = gateway.now();
        let placer = &mut gateway.directory.borrow_mut().placer;
        let key = placer.enqueue(now, requirements, urgency, history);
        if let Some(work) = work {
            placer.set_work(key, work);
        }
        key
    };
    gateway.slot_queue.waiting.borrow_mut().insert(key, sender);
    assign_free_slots(gateway);
    start_assignment_loop(gateway);
    (Ticket { gateway, key }, assigned)
}

fn start_assignment_loop(gateway: &Rc<Gateway>) {
    if !gateway.slot_queue.is_assigning.replace(true) {
        gateway.executor.spawn(run_assignment_loop(gateway.clone())).detach();
    }
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

/// Assigns free slots until no item waits or is late on its server.
async fn run_assignment_loop(gateway: Rc<Gateway>) {
    loop {
        let changed = gateway.slot_queue.changed.listen();
        assign_free_slots(&gateway);
        let has_late_run = gateway.directory.borrow().placer.has_late_run(gateway.now());
        if gateway.slot_queue.waiting.borrow().is_empty() && !has_late_run {
            gateway.slot_queue.is_assigning.set(false);
            return;
        }
        wait::at_most(RECHECK_INTERVAL, changed).await;
    }
}

/// Assigns all free slots, in the order of [`Placer::next_assignment`](heronbend::placement::Placer::next_assignment).
fn assign_free_slots(gateway: &Rc<Gateway>) {
    let min_gain = gateway.migration_cost.borrow().min_gain();
    loop {
        let now = gateway.now();
        let pool = &gateway.server_connections;
        let next = gateway.directory.borrow_mut().next_assignment(now, min_gain, pool);
        let Some(assignment) = next else {
            break;
        };
        match assignment {
            Assignment::Place(ticket, choice) => {
                let sender = gateway.slot_queue.waiting.borrow_mut().remove(&ticket);
                assign(gateway, sender, choice);
            }
            Assignment::Move(run, choice) => {
                gateway.directory.borrow_mut().placer.run_ended(run);
                let sender = gateway.slot_queue.running.borrow_mut().remove(&run);
                assign(gateway, sender, choice);
            }
        }
    }
    permits::request_permits(gateway);
}

fn assign(gateway: &Rc<Gateway>, sender: Option<Sender<AssignedSlot>>, choice: Choice) {
    let server = gateway.directory.borrow().by_key(choice.server);
    let Some((server, sender)) = server.zip(sender) else {
        log::error!("event=place_without_taker server={:?}", choice.server);
        return;
    };
    let guard = AttemptGuard::start(gateway, &server);
    let assigned =
        AssignedSlot { server, key: choice.server, version_status: choice.version_status, guard };
    // If the item was cancelled, dropping the slot frees it.
    let _ = sender.try_send(assigned);
}

//! Backend discovery from the machine list, status reports, operators and gossip.
//!
//! Also registers this daemon in the machine list.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use heronbend::external::engine::EngineStatus;
use heronbend::external::platform::{Machine, MachineKind};
use heronbend::identity::NodeId;
use heronbend::lifecycle::{
    Backend, BackendName, BackendPhase, Lifecycle, Phase, Signal, SignalSource,
};
use heronbend::membership::{Liveness, Member};
use heronbend::routing::{choose_subset, LoadReport};
use heronbend::Moment;
use heronbend_http::http_types::{Method, Request, Url};
use heronbend_http::Client;
use smol::Timer;

use super::Executor;
use crate::platform_client::PlatformClient;
use crate::shared::{BackendEntry, BackendTable, BackendsInput, MembershipInput, Shared};

const LIST_INTERVAL: Duration = Duration::from_millis(500);
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Poll interval while a request waits for a weight version that no report shows yet.
const FAST_REPORT_INTERVAL: Duration = Duration::from_millis(100);
const REPORT_TIMEOUT: Duration = Duration::from_millis(1000);
const MAX_REPORT_BYTES: usize = 1 << 16;
/// How long a backend missing from the machine list is kept after its last status report. The list
/// may omit healthy machines, for example after a platform outage.
const UNLISTED_TIMEOUT: Duration = Duration::from_secs(5);
/// Subset size of pools whose settings are not loaded.
const DEFAULT_SUBSET: usize = 40;
const REGISTER_INTERVAL: Duration = Duration::from_secs(1);

/// Backends and their reports, as known to the backends task.
#[derive(Default)]
struct State {
    lifecycle: Lifecycle,
    backends: BTreeMap<BackendName, Backend>,
    /// Backends missing from the latest machine list.
    unlisted: BTreeSet<BackendName>,
    /// Time of the last status report of each backend.
    last_response_at: BTreeMap<BackendName, Moment>,
    reports: BTreeMap<BackendName, EngineStatus>,
    /// Whether reports arrived since the last publication.
    has_new_reports: bool,
    generation: u64,
}

/// Events handled by the backends task.
enum Event {
    Input(BackendsInput),
    Report(BackendName, EngineStatus),
    /// Periodic timer.
    Tick,
}

/// Runs the task until the process exits.
pub async fn run(shared: Arc<Shared>, executor: Executor) {
    let platform = PlatformClient::new(shared.identity.platform);
    let (events, event_receiver) = smol::channel::bounded(1024);
    executor.spawn(register_periodically(shared.clone(), platform.clone())).detach();
    executor.spawn(poll_machine_list(shared.clone(), platform)).detach();
    executor.spawn(poll_backend_status(shared.clone(), executor.clone(), events.clone())).detach();
    let input_shared = shared.clone();
    executor
        .spawn(async move {
            while let Ok(input) = input_shared.backends_channel.receiver.recv().await {
                let _ = events.send(Event::Input(input)).await;
            }
        })
        .detach();
    let mut state = State::default();
    while let Ok(event) = event_receiver.recv().await {
        if state.handle_event(&shared, event) {
            state.publish(&shared);
        }
    }
}

impl State {
    /// Handles an event; returns whether the table must be published.
    fn handle_event(&mut self, shared: &Shared, event: Event) -> bool {
        match event {
            Event::Input(BackendsInput::Listed(backends, phases)) => {
                let mut changed = false;
                for stated in phases {
                    changed |= self.observe(shared, SignalSource::MachineList, stated);
                }
                changed | self.apply_list(backends)
            }
            Event::Input(BackendsInput::Signal(Signal { source, stated })) => {
                self.observe(shared, source, stated)
            }
            Event::Report(name, status) => {
                let stated = BackendPhase {
                    name: name.clone(),
                    incarnation: status.incarnation,
                    phase: status.phase,
                };
                let changed = self.observe(shared, SignalSource::BackendReport, stated);
                self.last_response_at.insert(name.clone(), shared.now());
                self.reports.insert(name, status);
                self.has_new_reports = true;
                changed
            }
            Event::Tick => {
                let dropped = self.drop_unresponsive_unlisted(shared.now());
                dropped | std::mem::take(&mut self.has_new_reports)
            }
        }
    }

    /// Applies a machine list. Missing backends stay until their status reports stop.
    ///
    /// Returns whether a backend was added or changed.
    fn apply_list(&mut self, listed: Vec<Backend>) -> bool {
        self.unlisted = self.backends.keys().cloned().collect();
        let mut changed = false;
        for backend in listed {
            self.unlisted.remove(&backend.name);
            let previous = self.backends.insert(backend.name.clone(), backend.clone());
            changed |= previous != Some(backend);
        }
        changed
    }

    /// Removes unlisted backends without a recent status report; returns whether any was removed.
    fn drop_unresponsive_unlisted(&mut self, now: Moment) -> bool {
        let last_response_at = &self.last_response_at;
        let is_unresponsive = |name: &BackendName| {
            last_response_at
                .get(name)
                .is_none_or(|response_at| now >= *response_at + UNLISTED_TIMEOUT)
        };
        let dropped: Vec<BackendName> =
            self.unlisted.iter().filter(|name| is_unresponsive(name)).cloned().collect();
        for name in &dropped {
            log::info!("event=backend_dropped backend={name}");
            self.unlisted.remove(name);
            self.backends.remove(name);
            self.reports.remove(name);
            self.last_response_at.remove(name);
        }
        !dropped.is_empty()
    }

    /// Applies a reported phase; returns whether the backend's phase changed. Backends that leave
    /// are gossiped unless the machine list is the source.
    fn observe(&mut self, shared: &Shared, source: SignalSource, stated: BackendPhase) -> bool {
        let Some(change) = self.lifecycle.observe(shared.now(), Signal { source, stated }) else {
            return false;
        };
        let stated = change.stated;
        log::info!(
            "event=backend_phase backend={} phase={:?} source={:?}",
            stated.name,
            stated.phase,
            change.source
        );
        if source != SignalSource::MachineList && stated.phase >= Phase::Leaving {
            let gossip = MembershipInput::GossipBackend(stated);
            let _ = shared.membership.sender.try_send(gossip);
        }
        true
    }

    fn publish(&mut self, shared: &Shared) {
        self.generation += 1;
        let subset = self.subset(shared);
        let backends: Vec<_> = self
            .backends
            .values()
            .map(|backend| self.table_entry(backend, subset.contains(&backend.name)))
            .collect();
        let live = backends.iter().filter(|entry| entry.phase == Phase::Live).count();
        shared.metrics.backends_live.set(live as i64);
        shared.backends.store(Arc::new(BackendTable { generation: self.generation, backends }));
    }

    /// Selects the backends that this daemon sends to, up to the subset size of each pool.
    fn subset(&self, shared: &Shared) -> BTreeSet<BackendName> {
        let identity = &shared.identity;
        let settings = shared.settings.load();
        let pools = settings.as_ref().map(|active| &active.policy.pools);
        let mut members: BTreeMap<&str, Vec<&Backend>> = BTreeMap::new();
        for backend in self.backends.values() {
            members.entry(backend.pool.as_str()).or_default().push(backend);
        }
        let mut subset = BTreeSet::new();
        for (pool, members) in members {
            let size =
                pools.and_then(|pools| pools.get(pool)).map_or(DEFAULT_SUBSET, |pool| pool.subset);
            let name = &identity.node.name.0;
            let chosen = choose_subset(name, &identity.zone, size, members.into_iter());
            subset.extend(chosen.into_iter().map(|backend| backend.name.clone()));
        }
        subset
    }

    fn table_entry(&self, backend: &Backend, in_subset: bool) -> BackendEntry {
        let report = self
            .reports
            .get(&backend.name)
            .filter(|report| report.incarnation == backend.incarnation);
        BackendEntry {
            backend: backend.clone(),
            phase: self.lifecycle.phase(&backend.name, backend.incarnation),
            in_subset,
            report: report.map_or_else(LoadReport::default, |report| LoadReport {
                running: report.running,
                waiting: report.waiting,
                version: report.version,
            }),
        }
    }
}

/// Polls the machine list. While the platform is unavailable, the last list stays in use.
async fn poll_machine_list(shared: Arc<Shared>, platform: PlatformClient) {
    let mut last_version = None;
    loop {
        match platform.machines().await {
            Ok(list) if last_version != Some(list.version) => {
                last_version = Some(list.version);
                apply_machine_list(&shared, list.machines);
            }
            Ok(_) => {}
            Err(error) => log::debug!("event=list_failed error={error}"),
        }
        Timer::after(LIST_INTERVAL).await;
    }
}

fn apply_machine_list(shared: &Shared, machines: Vec<Machine>) {
    let mut backends = Vec::new();
    let mut phases = Vec::new();
    for machine in machines {
        if machine.kind == MachineKind::Daemon {
            merge_daemon(shared, machine);
            continue;
        }
        let name = BackendName(machine.name);
        phases.push(BackendPhase {
            name: name.clone(),
            incarnation: machine.incarnation,
            phase: machine.phase,
        });
        backends.push(Backend {
            name,
            incarnation: machine.incarnation,
            pool: machine.pool,
            address: machine.address,
            zone: machine.zone,
        });
    }
    let input = BackendsInput::Listed(backends, phases);
    let _ = shared.backends_channel.sender.try_send(input);
}

fn merge_daemon(shared: &Shared, machine: Machine) {
    let Some(address) = machine.peer_address else {
        return;
    };
    if machine.phase != Phase::Live {
        return;
    }
    let member = Member {
        id: NodeId::new(&machine.name, machine.incarnation.0),
        address,
        http_address: machine.address,
        zone: machine.zone,
        region: machine.region,
        processor_millis: 0,
        refutation: 0,
        liveness: Liveness::Alive,
        is_draining: false,
    };
    let _ = shared.membership.sender.try_send(MembershipInput::Merge(member));
}

/// Polls the status of all backends of the subset concurrently.
async fn poll_backend_status(
    shared: Arc<Shared>,
    executor: Executor,
    events: smol::channel::Sender<Event>,
) {
    let client = Client::new();
    loop {
        let deadline = Instant::now() + REPORT_INTERVAL;
        while Instant::now() < deadline {
            Timer::after(FAST_REPORT_INTERVAL).await;
            if shared.take_report_request() {
                break;
            }
        }
        let _ = events.try_send(Event::Tick);
        let table = shared.backends.load_full();
        for entry in table.backends.iter().filter(|entry| entry.in_subset) {
            let backend = entry.backend.clone();
            let (client, events) = (client.clone(), events.clone());
            executor
                .spawn(async move {
                    if let Some(status) = fetch_status(&client, &backend).await {
                        let _ = events.try_send(Event::Report(backend.name, status));
                    }
                })
                .detach();
        }
    }
}

async fn fetch_status(client: &Client, backend: &Backend) -> Option<EngineStatus> {
    let url = Url::parse(&format!("http://{}/status", backend.address)).ok()?;
    let request = Request::new(Method::Get, url);
    let (status, bytes) =
        client.fetch(backend.address, request, REPORT_TIMEOUT, MAX_REPORT_BYTES).await.ok()?;
    if !status.is_success() {
        return None;
    }
    serde_json::from_slice(&bytes).ok()
}

/// Renews this daemon's registration in the machine list.
async fn register_periodically(shared: Arc<Shared>, platform: PlatformClient) {
    let identity = &shared.identity;
    loop {
        let machine = Machine {
            name: identity.node.name.0.clone(),
            kind: MachineKind::Daemon,
            incarnation: identity.node.incarnation,
            pool: String::new(),
            address: identity.http_address,
            peer_address: Some(identity.peer_address),
            zone: identity.zone.clone(),
            region: identity.region.clone(),
            phase: if shared.is_draining() { Phase::Leaving } else { Phase::Live },
        };
        if let Err(error) = platform.register(&machine).await {
            log::debug!("event=registration_failed error={error}");
        }
        Timer::after(REGISTER_INTERVAL).await;
    }
}

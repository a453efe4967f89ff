//! Knows the back ends: the platform's list, their own reports, operators and rumours.

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
use crate::shared::{BackendTable, BackendsInput, KnownBackend, MembershipInput, Shared};

const LIST_INTERVAL: Duration = Duration::from_millis(500);
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// The same while a request waits for a weight version that no report shows yet.
const WANTED_INTERVAL: Duration = Duration::from_millis(100);
const REPORT_TIMEOUT: Duration = Duration::from_millis(1000);
const MAX_REPORT_BYTES: usize = 1 << 16;
/// How long a back end that the list no longer names is kept after its last answer. The list may
/// forget machines that are well, for one after an outage of the platform.
const UNLISTED_LIMIT: Duration = Duration::from_secs(5);
/// Size of a pool's subset while its settings are not known.
const DEFAULT_SUBSET: usize = 40;
const REGISTER_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Default)]
struct State {
    lifecycle: Lifecycle,
    backends: BTreeMap<BackendName, Backend>,
    /// Back ends that the newest list does not name.
    unlisted: BTreeSet<BackendName>,
    answered: BTreeMap<BackendName, Moment>,
    reports: BTreeMap<BackendName, EngineStatus>,
    /// Reports came in since the last publication; they are published together.
    has_new_reports: bool,
    generation: u64,
}

/// An event of the back-ends duty.
enum Event {
    Input(BackendsInput),
    Report(BackendName, EngineStatus),
    /// Time has passed.
    Tick,
}

/// Runs until the process ends.
pub async fn run(shared: Arc<Shared>, executor: Executor) {
    let platform = PlatformClient::new(shared.identity.platform);
    let (events, inbox) = smol::channel::bounded(1024);
    executor.spawn(keep_registered(shared.clone(), platform.clone())).detach();
    executor.spawn(keep_listing(shared.clone(), platform)).detach();
    executor.spawn(keep_asking(shared.clone(), executor.clone(), events.clone())).detach();
    let forwarding = shared.clone();
    executor
        .spawn(async move {
            while let Ok(input) = forwarding.backends_ring.receiver.recv().await {
                let _ = events.send(Event::Input(input)).await;
            }
        })
        .detach();
    let mut state = State::default();
    while let Ok(event) = inbox.recv().await {
        if state.take(&shared, event) {
            state.publish(&shared);
        }
    }
}

impl State {
    /// Takes an event in; whether the table has changed.
    fn take(&mut self, shared: &Shared, event: Event) -> bool {
        match event {
            Event::Input(BackendsInput::Listed(backends, phases)) => {
                let mut changed = false;
                for stated in phases {
                    changed |= self.observe(shared, SignalSource::MachineList, stated);
                }
                changed | self.take_list(backends)
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
                self.answered.insert(name.clone(), shared.now());
                self.reports.insert(name, status);
                self.has_new_reports = true;
                changed
            }
            Event::Tick => {
                let dropped = self.drop_silent_unlisted(shared.now());
                dropped | std::mem::take(&mut self.has_new_reports)
            }
        }
    }

    /// Takes a list over; what it does not name stays until it no longer answers.
    fn take_list(&mut self, listed: Vec<Backend>) -> bool {
        self.unlisted = self.backends.keys().cloned().collect();
        let mut changed = false;
        for backend in listed {
            self.unlisted.remove(&backend.name);
            let known = self.backends.insert(backend.name.clone(), backend.clone());
            changed |= known != Some(backend);
        }
        changed
    }

    fn drop_silent_unlisted(&mut self, now: Moment) -> bool {
        let answered = &self.answered;
        let silent = |name: &BackendName| {
            answered.get(name).is_none_or(|answer| now >= *answer + UNLISTED_LIMIT)
        };
        let dropped: Vec<BackendName> =
            self.unlisted.iter().filter(|name| silent(name)).cloned().collect();
        for name in &dropped {
            log::info!("event=backend_dropped backend={name}");
            self.unlisted.remove(name);
            self.backends.remove(name);
            self.reports.remove(name);
            self.answered.remove(name);
        }
        !dropped.is_empty()
    }

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
            let rumour = MembershipInput::SpreadBackend(stated);
            let _ = shared.membership.sender.try_send(rumour);
        }
        true
    }

    fn publish(&mut self, shared: &Shared) {
        self.generation += 1;
        let subset = self.subset(shared);
        let backends: Vec<_> = self
            .backends
            .values()
            .map(|backend| self.known(backend, subset.contains(&backend.name)))
            .collect();
        let live = backends.iter().filter(|known| known.phase == Phase::Live).count();
        shared.metrics.backends_live.set(live as i64);
        shared.backends.store(Arc::new(BackendTable { generation: self.generation, backends }));
    }

    /// Back ends that this daemon sends to: of each pool as many as its settings say.
    fn subset(&self, shared: &Shared) -> BTreeSet<BackendName> {
        let identity = &shared.identity;
        let settings = shared.settings.load();
        let pools = settings.as_ref().map(|known| &known.policy.pools);
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

    fn known(&self, backend: &Backend, in_subset: bool) -> KnownBackend {
        let report = self
            .reports
            .get(&backend.name)
            .filter(|report| report.incarnation == backend.incarnation);
        KnownBackend {
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

/// Reads the list of machines again and again. While the platform is down the last list stands.
async fn keep_listing(shared: Arc<Shared>, platform: PlatformClient) {
    let mut known_version = None;
    loop {
        match platform.machines().await {
            Ok(list) if known_version != Some(list.version) => {
                known_version = Some(list.version);
                learn_list(&shared, list.machines);
            }
            Ok(_) => {}
            Err(error) => log::debug!("event=list_failed error={error}"),
        }
        Timer::after(LIST_INTERVAL).await;
    }
}

fn learn_list(shared: &Shared, machines: Vec<Machine>) {
    let mut backends = Vec::new();
    let mut phases = Vec::new();
    for machine in machines {
        if machine.kind == MachineKind::Daemon {
            learn_daemon(shared, machine);
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
    let _ = shared.backends_ring.sender.try_send(input);
}

fn learn_daemon(shared: &Shared, machine: Machine) {
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
    };
    let _ = shared.membership.sender.try_send(MembershipInput::Learn(member));
}

/// Asks every listed back end for its status, all at once, at an interval.
async fn keep_asking(
    shared: Arc<Shared>,
    executor: Executor,
    events: smol::channel::Sender<Event>,
) {
    let client = Client::new();
    loop {
        let due = Instant::now() + REPORT_INTERVAL;
        while Instant::now() < due {
            Timer::after(WANTED_INTERVAL).await;
            if shared.take_reports_wanted() {
                break;
            }
        }
        let _ = events.try_send(Event::Tick);
        let table = shared.backends.load_full();
        for known in table.backends.iter().filter(|known| known.in_subset) {
            let backend = known.backend.clone();
            let (client, events) = (client.clone(), events.clone());
            executor
                .spawn(async move {
                    if let Some(status) = ask(&client, &backend).await {
                        let _ = events.try_send(Event::Report(backend.name, status));
                    }
                })
                .detach();
        }
    }
}

async fn ask(client: &Client, backend: &Backend) -> Option<EngineStatus> {
    let url = Url::parse(&format!("http://{}/status", backend.address)).ok()?;
    let request = Request::new(Method::Get, url);
    let (status, bytes) =
        client.fetch(backend.address, request, REPORT_TIMEOUT, MAX_REPORT_BYTES).await.ok()?;
    if !status.is_success() {
        return None;
    }
    serde_json::from_slice(&bytes).ok()
}

/// Keeps this daemon's own entry in the list of machines.
async fn keep_registered(shared: Arc<Shared>, platform: PlatformClient) {
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

//! Metrics of a daemon, exported in the OpenMetrics text format.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use heronbend::placement::Exclusion;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::Registry;

use crate::logging;
use crate::memory::MemoryBudget;

type Count = Counter<u64, AtomicU64>;

/// Labels of a response to a client.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ResponseLabels {
    /// Route name, or the name of a call to the gateway's own API.
    pub route: String,
    /// HTTP status code.
    pub status: u16,
}

/// Labels of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StoreLabels {
    /// Purpose of the call: usually the object kind.
    pub purpose: String,
}

/// Labels of a batch job that changed its owner.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AdoptionLabels {
    /// Reason for the change.
    pub reason: String,
}

/// Labels of a new connection to a server.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ConnectionLabels {
    /// Reason for opening it.
    pub reason: String,
}

/// Labels of a call to the provider.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ProviderCallLabels {
    /// The duty that made the call.
    pub duty: &'static str,
    /// Outcome of the call: `done` or `failed`.
    pub outcome: &'static str,
}

/// Labels of a request for which no server was available.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct UnplacedLabels {
    /// The reason that excluded the most servers.
    pub reason: &'static str,
}

/// Labels of a per-zone metric.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ZoneLabels {
    /// Name of the zone.
    pub zone: String,
}

/// Labels of a per-priority metric.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PriorityLabels {
    /// Priority of the calls; 0 is the most urgent.
    pub priority: u8,
}

/// Labels of a call that was refused because its service is overloaded.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallRefusalLabels {
    /// Reason for the refusal.
    pub reason: &'static str,
    /// Priority of the call; 0 is the most urgent.
    pub priority: u8,
}

/// Labels of a per-service metric.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabels {
    /// Name of the service.
    pub service: String,
}

/// Counts, by label, since the last [`Metrics::take_log_line`].
#[derive(Debug, Default)]
struct UnloggedCounts {
    store_calls: BTreeMap<String, u64>,
    connections: BTreeMap<&'static str, u64>,
}

/// All metrics of a daemon. Clones share their values.
#[derive(Clone)]
pub struct Metrics {
    /// Responses to clients, by route and status.
    pub responses: Family<ResponseLabels, Count>,
    /// Seconds from the request head to the response head.
    pub latency: Histogram,
    /// Attempts to run a request on a server.
    pub attempts: Count,
    /// Attempts that a server rejected without running the request.
    pub rejected_attempts: Count,
    /// Attempts that were interrupted or timed out.
    pub failed_attempts: Count,
    /// Servers that crashed while they ran a request of this daemon.
    pub servers_crashed: Count,
    /// Servers that restarted under the same name.
    pub servers_restarted: Count,
    /// Server registrations that could not be parsed.
    pub malformed_registrations: Count,
    /// Requests rejected because they are quarantined.
    pub quarantine_refusals: Count,
    /// Number of quarantined requests.
    pub requests_quarantined: Gauge,
    /// Hedged attempts.
    pub hedges: Count,
    /// Requests sent to a server of another part of their route than their own.
    pub requests_diverted: Count,
    /// Retries suppressed by the retry budget.
    pub retries_suppressed: Count,
    /// Responses dropped because they did not match their request or were incomplete.
    pub invalid_responses: Count,
    /// Calls to the store, by purpose.
    pub store_calls: Family<StoreLabels, Count>,
    /// New connections to servers, by reason.
    pub connections: Family<ConnectionLabels, Count>,
    unlogged: Rc<RefCell<UnloggedCounts>>,
    /// Batch jobs accepted by this daemon.
    pub jobs_accepted: Count,
    /// Batch jobs taken over from another owner, by reason.
    pub jobs_adopted: Family<AdoptionLabels, Count>,
    /// Batch items whose result was committed.
    pub items_committed: Count,
    /// Batch items resumed on another server.
    pub items_resumed: Count,
    /// Client streams resumed on another server.
    pub streams_resumed: Count,
    /// Seconds from the submission of a batch job to the commit of a result.
    pub item_age: Histogram,
    /// Load commands sent to servers.
    pub load_commands: Count,
    /// Calls to the provider, by duty and outcome.
    pub provider_calls: Family<ProviderCallLabels, Count>,
    /// Requests rejected because no server was available, by main exclusion reason.
    pub requests_unplaced: Family<UnplacedLabels, Count>,
    /// Seconds that batch items waited for a slot; immediate placements are not observed.
    pub slot_wait: Histogram,
    /// Cold start permits received from other daemons.
    pub permits_received: Count,
    /// Cold start permits issued to other daemons.
    pub permits_issued: Count,
    /// 1 while a zone is evacuated, else 0.
    pub zones_evacuated: Family<ZoneLabels, Gauge>,
    /// Number of cold servers, by zone.
    pub cold_servers: Family<ZoneLabels, Gauge>,
    /// Number of calls in the call queue, by priority.
    pub calls_waiting: Family<PriorityLabels, Gauge>,
    /// Seconds that calls spent in the call queue, by priority.
    pub call_wait: Family<PriorityLabels, Histogram>,
    /// Calls refused by the call queue, by reason and priority.
    pub calls_refused: Family<CallRefusalLabels, Count>,
    /// Calls per second that this daemon may send, by service; services without a limit are absent.
    pub admission_rate: Family<ServiceLabels, Gauge<f64, AtomicU64>>,
    /// Shares of a service's capacity that this daemon told other daemons.
    pub shares_told: Count,
    /// Shares of a service's capacity that this daemon adopted as its limit.
    pub shares_used: Count,
    /// Bytes of responses held for clients.
    pub response_bytes_held: Gauge,
    /// Maximum of `response_bytes_held`.
    pub response_bytes_limit: Gauge,
    /// Connections closed because the client did not read its response.
    pub slow_readers_cut: Count,
    /// Responses dropped, and requests rejected, because there was no memory for the response.
    pub responses_refused: Count,
    /// Log lines dropped because the log buffer was full.
    pub log_lines_dropped: Count,
}

/// Creates a histogram of durations from 2 ms to 16 s.
fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.002, 2.0, 14))
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            responses: Family::default(),
            latency: histogram(),
            attempts: Count::default(),
            rejected_attempts: Count::default(),
            failed_attempts: Count::default(),
            servers_crashed: Count::default(),
            servers_restarted: Count::default(),
            malformed_registrations: Count::default(),
            quarantine_refusals: Count::default(),
            requests_quarantined: Gauge::default(),
            hedges: Count::default(),
            requests_diverted: Count::default(),
            retries_suppressed: Count::default(),
            invalid_responses: Count::default(),
            store_calls: Family::default(),
            connections: Family::default(),
            unlogged: Rc::default(),
            jobs_accepted: Count::default(),
            jobs_adopted: Family::default(),
            items_committed: Count::default(),
            items_resumed: Count::default(),
            streams_resumed: Count::default(),
            item_age: histogram(),
            load_commands: Count::default(),
            provider_calls: Family::default(),
            requests_unplaced: Family::default(),
            slot_wait: histogram(),
            permits_received: Count::default(),
            permits_issued: Count::default(),
            zones_evacuated: Family::default(),
            cold_servers: Family::default(),
            calls_waiting: Family::default(),
            call_wait: Family::new_with_constructor(histogram),
            calls_refused: Family::default(),
            admission_rate: Family::default(),
            shares_told: Count::default(),
            shares_used: Count::default(),
            response_bytes_held: Gauge::default(),
            response_bytes_limit: Gauge::default(),
            slow_readers_cut: Count::default(),
            responses_refused: Count::default(),
            log_lines_dropped: Count::default(),
        }
    }
}

/// Formats counts as `label:count,label:count`.
fn format_counts<L: std::fmt::Display>(counts: &BTreeMap<L, u64>) -> String {
    let format_counts: Vec<String> =
        counts.iter().map(|(label, count)| format!("{label}:{count}")).collect();
    format_counts.join(",")
}

impl Metrics {
    /// Records a response and the time from the request head to the response head.
    pub fn record_response(&self, route: &str, status: u16, latency: Duration) {
        let labels = ResponseLabels { route: route.to_owned(), status };
        self.responses.get_or_create(&labels).inc();
        self.latency.observe(latency.as_secs_f64());
    }

    /// Records a call to the store.
    pub fn record_store_call(&self, purpose: &str) {
        self.store_calls.get_or_create(&StoreLabels { purpose: purpose.to_owned() }).inc();
        *self.unlogged.borrow_mut().store_calls.entry(purpose.to_owned()).or_default() += 1;
    }

    /// Records a new connection to a server.
    pub fn record_connection(&self, reason: &'static str) {
        self.connections.get_or_create(&ConnectionLabels { reason: reason.to_owned() }).inc();
        *self.unlogged.borrow_mut().connections.entry(reason).or_default() += 1;
    }

    /// Returns a log line with the counts since the last call, or `None` if there are none.
    pub fn take_log_line(&self) -> Option<String> {
        let UnloggedCounts { store_calls, connections } = self.unlogged.take();
        if store_calls.is_empty() && connections.is_empty() {
            return None;
        }
        Some(format!(
            "event=counted store_calls={} connections={}",
            format_counts(&store_calls),
            format_counts(&connections)
        ))
    }

    /// Logs the counts since the last call, if there are any.
    pub fn log_counters(&self) {
        if let Some(line) = self.take_log_line() {
            log::info!("{line}");
        }
    }

    /// Records a batch job taken over from another owner.
    pub fn record_adoption(&self, reason: &str) {
        self.jobs_adopted.get_or_create(&AdoptionLabels { reason: reason.to_owned() }).inc();
    }

    /// Records a request for which no server was available.
    pub fn record_unplaced(&self, reason: Option<Exclusion>) {
        let reason = reason.map_or("none", Exclusion::name);
        self.requests_unplaced.get_or_create(&UnplacedLabels { reason }).inc();
    }

    /// Sets whether a zone is evacuated.
    pub fn set_zone_evacuated(&self, zone: &str, is_evacuated: bool) {
        let labels = ZoneLabels { zone: zone.to_owned() };
        self.zones_evacuated.get_or_create(&labels).set(i64::from(is_evacuated));
    }

    /// Sets the number of cold servers in a zone.
    pub fn set_cold_servers(&self, zone: &str, servers: usize) {
        let labels = ZoneLabels { zone: zone.to_owned() };
        let servers = i64::try_from(servers).unwrap_or(i64::MAX);
        self.cold_servers.get_or_create(&labels).set(servers);
    }

    /// Records the time that a call spent in the call queue.
    pub fn record_call_wait(&self, priority: u8, waited: Duration) {
        let labels = PriorityLabels { priority };
        self.call_wait.get_or_create(&labels).observe(waited.as_secs_f64());
    }

    /// Records a call that the call queue refused.
    pub fn record_call_refused(&self, priority: u8, reason: &'static str) {
        self.calls_refused.get_or_create(&CallRefusalLabels { reason, priority }).inc();
    }

    /// Sets the number of calls in the call queue.
    pub fn set_calls_waiting(&self, priority: u8, count: i64) {
        self.calls_waiting.get_or_create(&PriorityLabels { priority }).set(count);
    }

    /// Sets the rate at which this daemon may call a service; `None` removes the limit.
    pub fn set_admission_rate(&self, service: &str, per_second: Option<f64>) {
        let labels = ServiceLabels { service: service.to_owned() };
        match per_second {
            Some(per_second) => {
                self.admission_rate.get_or_create(&labels).set(per_second);
            }
            None => {
                self.admission_rate.remove(&labels);
            }
        }
    }

    /// Sets the bytes of responses held for clients.
    pub fn set_response_memory(&self, budget: &MemoryBudget) {
        let bytes = |bytes| i64::try_from(bytes).unwrap_or(i64::MAX);
        self.response_bytes_held.set(bytes(budget.reserved()));
        self.response_bytes_limit.set(bytes(budget.limit()));
    }

    /// Records a call to the provider.
    pub fn record_provider_call(&self, duty: &'static str, succeeded: bool) {
        let outcome = if succeeded { "done" } else { "failed" };
        self.provider_calls.get_or_create(&ProviderCallLabels { duty, outcome }).inc();
    }

    /// Encodes all metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let reported = self.log_lines_dropped.get();
        self.log_lines_dropped.inc_by(logging::dropped().saturating_sub(reported));
        let mut registry = Registry::with_prefix("heronbend");
        registry.register("answers", "Requests answered", self.responses.clone());
        registry.register("latency_seconds", "Time to answer", self.latency.clone());
        registry.register("attempts", "Attempts at servers", self.attempts.clone());
        registry.register(
            "refusals",
            "Attempts refused by servers",
            self.rejected_attempts.clone(),
        );
        registry.register("failures", "Attempts broken off", self.failed_attempts.clone());
        let crashed = self.servers_crashed.clone();
        registry.register("servers_ended", "Servers that ended under a request", crashed);
        let restarted = self.servers_restarted.clone();
        registry.register("servers_restarted", "Servers started again by their name", restarted);
        let malformed = self.malformed_registrations.clone();
        registry.register("server_entries_malformed", "Entries not understood", malformed);
        let rejected = self.quarantine_refusals.clone();
        registry.register("quarantine_refusals", "Requests refused as they end servers", rejected);
        let quarantined = self.requests_quarantined.clone();
        registry.register("requests_quarantined", "Requests that are quarantined", quarantined);
        registry.register("hedges", "Second attempts beside the first", self.hedges.clone());
        let diverted = self.requests_diverted.clone();
        registry.register("requests_diverted", "Requests run by another part of a split", diverted);
        let suppressed = self.retries_suppressed.clone();
        registry.register("retries_withheld", "Retries over the budget", suppressed);
        registry.register("foreign_answers", "Answers dropped", self.invalid_responses.clone());
        registry.register("store_calls", "Calls to the store", self.store_calls.clone());
        let connections = self.connections.clone();
        registry.register("connections", "Connections opened to servers", connections);
        registry.register("jobs_accepted", "Batch jobs accepted", self.jobs_accepted.clone());
        registry.register("jobs_adopted", "Batch jobs taken over", self.jobs_adopted.clone());
        registry.register("items_listed", "Results listed", self.items_committed.clone());
        registry.register("items_resumed", "Items continued elsewhere", self.items_resumed.clone());
        let resumed = self.streams_resumed.clone();
        registry.register("streams_resumed", "Streams continued elsewhere", resumed);
        registry.register("item_age_seconds", "Age of results", self.item_age.clone());
        registry.register("orders", "Orders given to servers", self.load_commands.clone());
        registry.register("duty_calls", "Calls to the provider", self.provider_calls.clone());
        let unplaced = self.requests_unplaced.clone();
        registry.register("requests_unplaced", "Requests no server could be sent", unplaced);
        registry.register("place_wait_seconds", "Wait for a place", self.slot_wait.clone());
        let received = self.permits_received.clone();
        registry.register("permits_borrowed", "Permits for cold servers borrowed", received);
        let issued = self.permits_issued.clone();
        registry.register("permits_lent", "Permits for cold servers lent", issued);
        let evacuated = self.zones_evacuated.clone();
        let cold = self.cold_servers.clone();
        registry.register("cold_servers", "Servers that are cold", cold);
        registry.register("zone_evacuated", "Whether a zone is evacuated", evacuated);
        self.register_admission(&mut registry);
        let held = self.response_bytes_held.clone();
        registry.register("answers_held_bytes", "Bytes of answers held for clients", held);
        let limit = self.response_bytes_limit.clone();
        registry.register("answers_held_limit_bytes", "Limit of these bytes", limit);
        let cut = self.slow_readers_cut.clone();
        registry.register("slow_readers_cut", "Clients cut that did not read", cut);
        let refused = self.responses_refused.clone();
        registry.register("answers_refused_memory", "Answers without memory", refused);
        registry.register("log_lines_dropped", "Lines dropped", self.log_lines_dropped.clone());
        let mut page = String::new();
        // Writing into a string cannot fail.
        let _ = prometheus_client::encoding::text::encode(&mut page, &registry);
        page
    }

    fn register_admission(&self, registry: &mut Registry) {
        let waiting = self.calls_waiting.clone();
        registry.register("calls_waiting", "Calls in the queue", waiting);
        let wait = self.call_wait.clone();
        registry.register("call_wait_seconds", "Wait of calls in the queue", wait);
        let refused = self.calls_refused.clone();
        registry.register("calls_refused", "Calls refused by the queue", refused);
        let rate = self.admission_rate.clone();
        registry.register("admission_rate_calls_per_second", "Limit of calls to a service", rate);
        let told = self.shares_told.clone();
        registry.register("shares_told", "Shares of a service told to other daemons", told);
        let used = self.shares_used.clone();
        registry.register("shares_used", "Shares of a service adopted as a limit", used);
    }
}

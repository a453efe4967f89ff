//! Counters and histograms, and their page in the text format of OpenMetrics.

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

type Count = Counter<u64, AtomicU64>;

/// Labels of an answered request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AnswerLabels {
    /// Route, or the call of the service's own interface.
    pub route: String,
    /// HTTP status.
    pub status: u16,
}

/// Labels of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StoreLabels {
    /// What it was for: the kind of the objects.
    pub purpose: String,
}

/// Labels of a job that was taken over.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AdoptionLabels {
    /// Why it changed hands.
    pub reason: String,
}

/// Labels of a connection that was opened to a server.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OpenLabels {
    /// Why it was opened.
    pub reason: String,
}

/// Labels of a call to the provider.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DutyLabels {
    /// The duty.
    pub duty: &'static str,
    /// Whether the call was accepted: `done` or `failed`.
    pub outcome: &'static str,
}

/// Labels of a request that no server could be sent.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct UnplacedLabels {
    /// What kept most servers from it.
    pub reason: &'static str,
}

/// Labels of what concerns a zone.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ZoneLabels {
    /// The zone.
    pub zone: String,
}

/// What was counted since the last line that told of it, by what and by which label.
#[derive(Debug, Default)]
struct Tally {
    store_calls: BTreeMap<String, u64>,
    connections: BTreeMap<&'static str, u64>,
}

/// All counters of a daemon.
#[derive(Clone)]
pub struct Metrics {
    /// Requests answered.
    pub answers: Family<AnswerLabels, Count>,
    /// Seconds from the head of a request to the head of its answer.
    pub latency: Histogram,
    /// Attempts at servers.
    pub attempts: Count,
    /// Attempts that a server refused without running them.
    pub refusals: Count,
    /// Attempts that were broken off or did not end in time.
    pub failures: Count,
    /// Servers that ended while they ran a request of this daemon.
    pub servers_ended: Count,
    /// Servers that started again under the name that they had.
    pub servers_restarted: Count,
    /// Entries of servers that cannot be understood.
    pub server_entries_malformed: Count,
    /// Requests that were refused because servers ended under them.
    pub quarantine_refusals: Count,
    /// Requests that are quarantined.
    pub requests_quarantined: Gauge,
    /// Second attempts made while the first was still open.
    pub hedges: Count,
    /// Retries that were not made because too many others had been.
    pub retries_withheld: Count,
    /// Answers that did not belong to their request, or were not whole.
    pub foreign_answers: Count,
    /// Calls to the store.
    pub store_calls: Family<StoreLabels, Count>,
    /// Connections opened to servers, by reason.
    pub connections: Family<OpenLabels, Count>,
    tally: Rc<RefCell<Tally>>,
    /// Batch jobs accepted here.
    pub jobs_accepted: Count,
    /// Batch jobs taken over, by reason.
    pub jobs_adopted: Family<AdoptionLabels, Count>,
    /// Items whose result was listed.
    pub items_listed: Count,
    /// Items that were continued at another server.
    pub items_resumed: Count,
    /// Streams that were continued at another server.
    pub streams_resumed: Count,
    /// Seconds from the hand-in of a batch job to the listing of a result.
    pub item_age: Histogram,
    /// Orders given to servers.
    pub orders: Count,
    /// Calls to the provider, by duty and outcome.
    pub duty_calls: Family<DutyLabels, Count>,
    /// Requests that were refused because no server could be sent them, by what kept most from it.
    pub requests_unplaced: Family<UnplacedLabels, Count>,
    /// Seconds that a text waited for a place, where it had to.
    pub place_wait: Histogram,
    /// Permits for cold servers that were borrowed.
    pub permits_borrowed: Count,
    /// Permits for cold servers that were lent.
    pub permits_lent: Count,
    /// Whether a zone is evacuated: 1 or 0.
    pub zones_evacuated: Family<ZoneLabels, Gauge>,
    /// Servers that are cold, by zone.
    pub cold_servers: Family<ZoneLabels, Gauge>,
    /// Log lines that were dropped.
    pub log_lines_dropped: Count,
}

impl Default for Metrics {
    fn default() -> Self {
        let histogram = || Histogram::new(exponential_buckets(0.002, 2.0, 14));
        Self {
            answers: Family::default(),
            latency: histogram(),
            attempts: Count::default(),
            refusals: Count::default(),
            failures: Count::default(),
            servers_ended: Count::default(),
            servers_restarted: Count::default(),
            server_entries_malformed: Count::default(),
            quarantine_refusals: Count::default(),
            requests_quarantined: Gauge::default(),
            hedges: Count::default(),
            retries_withheld: Count::default(),
            foreign_answers: Count::default(),
            store_calls: Family::default(),
            connections: Family::default(),
            tally: Rc::default(),
            jobs_accepted: Count::default(),
            jobs_adopted: Family::default(),
            items_listed: Count::default(),
            items_resumed: Count::default(),
            streams_resumed: Count::default(),
            item_age: histogram(),
            orders: Count::default(),
            duty_calls: Family::default(),
            requests_unplaced: Family::default(),
            place_wait: histogram(),
            permits_borrowed: Count::default(),
            permits_lent: Count::default(),
            zones_evacuated: Family::default(),
            cold_servers: Family::default(),
            log_lines_dropped: Count::default(),
        }
    }
}

/// Labels with their counts, as `label:count,label:count`.
fn pairs<L: std::fmt::Display>(counts: &BTreeMap<L, u64>) -> String {
    let pairs: Vec<String> =
        counts.iter().map(|(label, count)| format!("{label}:{count}")).collect();
    pairs.join(",")
}

impl Metrics {
    /// Notes an answer.
    pub fn answered(&self, route: &str, status: u16, latency: Duration) {
        let labels = AnswerLabels { route: route.to_owned(), status };
        self.answers.get_or_create(&labels).inc();
        self.latency.observe(latency.as_secs_f64());
    }

    /// Notes a call to the store.
    pub fn store_call(&self, purpose: &str) {
        self.store_calls.get_or_create(&StoreLabels { purpose: purpose.to_owned() }).inc();
        *self.tally.borrow_mut().store_calls.entry(purpose.to_owned()).or_default() += 1;
    }

    /// Notes a connection that is opened to a server.
    pub fn connection_opened(&self, reason: &'static str) {
        self.connections.get_or_create(&OpenLabels { reason: reason.to_owned() }).inc();
        *self.tally.borrow_mut().connections.entry(reason).or_default() += 1;
    }

    /// A line that tells what was counted since the one before it; nothing where that is nothing.
    pub fn line(&self) -> Option<String> {
        let Tally { store_calls, connections } = self.tally.take();
        if store_calls.is_empty() && connections.is_empty() {
            return None;
        }
        Some(format!(
            "event=counted store_calls={} connections={}",
            pairs(&store_calls),
            pairs(&connections)
        ))
    }

    /// Notes a job that was taken over.
    pub fn job_adopted(&self, reason: &str) {
        self.jobs_adopted.get_or_create(&AdoptionLabels { reason: reason.to_owned() }).inc();
    }

    /// Notes a request that no server could be sent.
    pub fn unplaced(&self, reason: Option<Exclusion>) {
        let reason = reason.map_or("none", Exclusion::name);
        self.requests_unplaced.get_or_create(&UnplacedLabels { reason }).inc();
    }

    /// Notes whether a zone is evacuated.
    pub fn zone_evacuated(&self, zone: &str, is_evacuated: bool) {
        let labels = ZoneLabels { zone: zone.to_owned() };
        self.zones_evacuated.get_or_create(&labels).set(i64::from(is_evacuated));
    }

    /// Notes how many servers of a zone are cold.
    pub fn servers_cold(&self, zone: &str, servers: usize) {
        let labels = ZoneLabels { zone: zone.to_owned() };
        let servers = i64::try_from(servers).unwrap_or(i64::MAX);
        self.cold_servers.get_or_create(&labels).set(servers);
    }

    /// Notes a call to the provider.
    pub fn duty_called(&self, duty: &'static str, is_done: bool) {
        let outcome = if is_done { "done" } else { "failed" };
        self.duty_calls.get_or_create(&DutyLabels { duty, outcome }).inc();
    }

    /// The page.
    pub fn page(&self) -> String {
        let told = self.log_lines_dropped.get();
        self.log_lines_dropped.inc_by(logging::dropped().saturating_sub(told));
        let mut registry = Registry::with_prefix("heronbend");
        registry.register("answers", "Requests answered", self.answers.clone());
        registry.register("latency_seconds", "Time to answer", self.latency.clone());
        registry.register("attempts", "Attempts at servers", self.attempts.clone());
        registry.register("refusals", "Attempts refused by servers", self.refusals.clone());
        registry.register("failures", "Attempts broken off", self.failures.clone());
        let ended = self.servers_ended.clone();
        registry.register("servers_ended", "Servers that ended under a request", ended);
        let restarted = self.servers_restarted.clone();
        registry.register("servers_restarted", "Servers started again by their name", restarted);
        let malformed = self.server_entries_malformed.clone();
        registry.register("server_entries_malformed", "Entries not understood", malformed);
        let refused = self.quarantine_refusals.clone();
        registry.register("quarantine_refusals", "Requests refused as they end servers", refused);
        let quarantined = self.requests_quarantined.clone();
        registry.register("requests_quarantined", "Requests that are quarantined", quarantined);
        registry.register("hedges", "Second attempts beside the first", self.hedges.clone());
        let withheld = self.retries_withheld.clone();
        registry.register("retries_withheld", "Retries over the budget", withheld);
        registry.register("foreign_answers", "Answers dropped", self.foreign_answers.clone());
        registry.register("store_calls", "Calls to the store", self.store_calls.clone());
        let connections = self.connections.clone();
        registry.register("connections", "Connections opened to servers", connections);
        registry.register("jobs_accepted", "Batch jobs accepted", self.jobs_accepted.clone());
        registry.register("jobs_adopted", "Batch jobs taken over", self.jobs_adopted.clone());
        registry.register("items_listed", "Results listed", self.items_listed.clone());
        registry.register("items_resumed", "Items continued elsewhere", self.items_resumed.clone());
        let resumed = self.streams_resumed.clone();
        registry.register("streams_resumed", "Streams continued elsewhere", resumed);
        registry.register("item_age_seconds", "Age of results", self.item_age.clone());
        registry.register("orders", "Orders given to servers", self.orders.clone());
        registry.register("duty_calls", "Calls to the provider", self.duty_calls.clone());
        let unplaced = self.requests_unplaced.clone();
        registry.register("requests_unplaced", "Requests no server could be sent", unplaced);
        registry.register("place_wait_seconds", "Wait for a place", self.place_wait.clone());
        let borrowed = self.permits_borrowed.clone();
        registry.register("permits_borrowed", "Permits for cold servers borrowed", borrowed);
        let lent = self.permits_lent.clone();
        registry.register("permits_lent", "Permits for cold servers lent", lent);
        let evacuated = self.zones_evacuated.clone();
        let cold = self.cold_servers.clone();
        registry.register("cold_servers", "Servers that are cold", cold);
        registry.register("zone_evacuated", "Whether a zone is evacuated", evacuated);
        registry.register("log_lines_dropped", "Lines dropped", self.log_lines_dropped.clone());
        let mut page = String::new();
        // Writing into a string cannot fail.
        let _ = prometheus_client::encoding::text::encode(&mut page, &registry);
        page
    }
}

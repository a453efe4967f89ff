//! Metrics, with encoders for OpenMetrics and for log lines.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Labels of the response counter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ResponseLabels {
    /// HTTP status code.
    pub status: u16,
}

type Count = Counter<u64, AtomicU64>;

/// Metrics of a daemon.
#[derive(Default, Clone)]
pub struct Metrics {
    /// Responses, by status.
    pub answers: Family<ResponseLabels, Count>,
    /// Requests rejected because of an invalid head.
    pub refused_heads: Count,
    /// Attempts sent to backends.
    pub attempts: Count,
    /// Attempts after a request's first one.
    pub retries: Count,
    /// Retries suppressed because the retry budget was exhausted.
    pub retries_withheld: Count,
    /// Responses and chunks dropped because they did not match their attempt.
    pub foreign_answers: Count,
    /// Generations resumed on another engine.
    pub resumed: Count,
    /// Generated tokens passed on.
    pub tokens: Count,
    /// Samples generated and scored.
    pub samples_drawn: Count,
    /// Samples sealed into batches.
    pub samples_sealed: Count,
    /// Sample attempts that failed.
    pub draws_failed: Count,
    /// Register changes applied.
    pub register_changes: Count,
    /// Register change rounds that were retried.
    pub register_retries: Count,
    /// Register changes with an unknown outcome.
    pub register_unknown: Count,
    /// Weight load commands sent to engines.
    pub weight_orders: Count,
    /// Bytes sent to peers, in datagrams and frames.
    pub peer_bytes_sent: Count,
    /// Reads and watches of the platform's object API.
    pub store_reads: Count,
    /// Revision of the active settings.
    pub settings_revision: Gauge,
    /// Live backends.
    pub backends_live: Gauge,
    /// Alive daemons, including this one.
    pub members_alive: Gauge,
}

impl Metrics {
    /// Encodes all metrics in OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut registry = Registry::with_prefix("heronbend");
        registry.register("answers", "Requests answered, by status", self.answers.clone());
        for (name, help, counter) in self.counters() {
            registry.register(name, help, counter.clone());
        }
        for (name, help, gauge) in self.gauges() {
            registry.register(name, help, gauge.clone());
        }
        let mut page = String::new();
        prometheus_client::encoding::text::encode(&mut page, &registry)
            .expect("writing to a string cannot fail");
        page
    }

    /// Formats the non-zero counters as `name=count` pairs for a log line.
    pub fn log_line(&self) -> String {
        let counters = self.counters().into_iter().map(|(name, _, counter)| (name, counter.get()));
        let shown = counters.filter(|(_, count)| *count > 0);
        let fields: Vec<String> = shown.map(|(name, count)| format!("{name}={count}")).collect();
        fields.join(" ")
    }

    fn counters(&self) -> [(&'static str, &'static str, &Count); 16] {
        [
            ("refused_heads", "Requests refused by their heads", &self.refused_heads),
            ("attempts", "Attempts at back ends", &self.attempts),
            ("retries", "Attempts after the first", &self.retries),
            ("retries_withheld", "Retries over budget", &self.retries_withheld),
            ("foreign_answers", "Answers of other attempts, dropped", &self.foreign_answers),
            ("resumed", "Generations resumed at another engine", &self.resumed),
            ("tokens", "Tokens passed on", &self.tokens),
            ("samples_drawn", "Samples drawn", &self.samples_drawn),
            ("samples_sealed", "Samples sealed into batches", &self.samples_sealed),
            ("draws_failed", "Draws that failed", &self.draws_failed),
            ("register_changes", "Register changes made", &self.register_changes),
            ("register_retries", "Register rounds started anew", &self.register_retries),
            ("register_unknown", "Register changes of unknown outcome", &self.register_unknown),
            ("weight_orders", "Weight orders sent", &self.weight_orders),
            ("peer_bytes_sent", "Bytes sent to peers", &self.peer_bytes_sent),
            ("store_reads", "Reads of the object API", &self.store_reads),
        ]
    }

    fn gauges(&self) -> [(&'static str, &'static str, &Gauge); 3] {
        [
            ("settings_revision", "Revision in force", &self.settings_revision),
            ("backends_live", "Live back ends", &self.backends_live),
            ("members_alive", "Daemons alive", &self.members_alive),
        ]
    }
}

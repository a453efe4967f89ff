//! Outcomes recorded by the load generator, and the report that compares them with the ledgers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use hdrhistogram::Histogram;
use heronbend_http::Client;
use serde::Serialize;

use crate::ledger::Ledger;
use crate::registration::get_json;
use crate::trainer::TrainerReport;

/// Maximum recorded latency, in microseconds; longer ones are clamped.
const MAX_LATENCY_MICROS: u64 = 60_000_000;

/// Outcomes of the requests sent by the load generator.
pub struct Observations {
    /// Number of requests sent.
    pub requests: u64,
    /// Number of complete and valid responses.
    pub complete: u64,
    /// Number of requests without a response.
    pub lost: u64,
    /// Number of invalid responses, such as one that belongs to another request.
    pub invalid: u64,
    /// Identifiers of the requests rejected with the outcome `not_run`.
    pub rejected_not_run: BTreeSet<String>,
    /// Number of error responses that do not rule out execution.
    pub unknown: u64,
    /// Number of unauthorized requests that succeeded.
    pub forbidden_accepted: u64,
    /// Latency of station readings through a daemon, in microseconds.
    pub daemon_latency: Histogram<u64>,
    /// Latency of station readings sent directly to a server, in microseconds.
    pub direct_latency: Histogram<u64>,
    /// Number of error responses by error code.
    pub error_codes: BTreeMap<String, u64>,
}

impl Default for Observations {
    fn default() -> Self {
        let histogram = || Histogram::new_with_max(MAX_LATENCY_MICROS, 3).expect("valid bounds");
        Self {
            requests: 0,
            complete: 0,
            lost: 0,
            invalid: 0,
            rejected_not_run: BTreeSet::new(),
            unknown: 0,
            forbidden_accepted: 0,
            daemon_latency: histogram(),
            direct_latency: histogram(),
            error_codes: BTreeMap::new(),
        }
    }
}

/// Result of a load run, printed as JSON.
#[derive(Debug, Serialize)]
pub struct LoadTestReport {
    requests: u64,
    answers_whole: u64,
    answers_lost: u64,
    answers_wrong: u64,
    answers_unknown: u64,
    refused_not_run: u64,
    refused_but_ran: u64,
    forbidden_passed: u64,
    not_repeatable_ran_twice: u64,
    new_work_while_leaving: u64,
    samples_delivered: u64,
    samples_doubled: u64,
    samples_too_old: u64,
    samples_wrong_version: u64,
    samples_wrong_reward: u64,
    steps: u64,
    trainer_idle_share: f64,
    staleness_mean: f64,
    latency_added_p50_us: i64,
    latency_added_p99_us: i64,
    refusal_codes: BTreeMap<String, u64>,
}

impl LoadTestReport {
    /// Compares the observations with the ledgers of the backends and the reports of the trainers.
    ///
    /// A ledger that cannot be fetched is skipped; a missing trainer report is an error.
    pub async fn evaluate(
        observations: &Observations,
        engines: &[SocketAddr],
        apps: &[SocketAddr],
        trainers: &[SocketAddr],
    ) -> anyhow::Result<Self> {
        let client = Client::new();
        let mut executed = BTreeSet::new();
        let mut executions_by_key: BTreeMap<String, u64> = BTreeMap::new();
        let mut late_requests = 0;
        for address in engines.iter().chain(apps) {
            let ledger: Ledger = match get_json(&client, *address, "/ledger").await {
                Ok(ledger) => ledger,
                Err(error) => {
                    log::warn!("event=ledger_missing address={address} error={error:?}");
                    continue;
                }
            };
            late_requests += ledger.new_work_while_leaving;
            executed.extend(ledger.runs.into_iter().map(|run| run.caller_request));
            for execution in ledger.executions {
                executed.insert(execution.caller_request);
                if let Some(key) = execution.idempotency_key {
                    *executions_by_key.entry(key).or_default() += 1;
                }
            }
        }
        let mut training = TrainerReport::default();
        for address in trainers {
            let report: TrainerReport = get_json(&client, *address, "/report").await?;
            training.add(&report);
        }
        let added = |quantile: f64| {
            let daemon_latency = observations.daemon_latency.value_at_quantile(quantile) as i64;
            daemon_latency - observations.direct_latency.value_at_quantile(quantile) as i64
        };
        Ok(Self {
            requests: observations.requests,
            answers_whole: observations.complete,
            answers_lost: observations.lost,
            answers_wrong: observations.invalid,
            answers_unknown: observations.unknown,
            refused_not_run: observations.rejected_not_run.len() as u64,
            refused_but_ran: observations.rejected_not_run.intersection(&executed).count() as u64,
            forbidden_passed: observations.forbidden_accepted,
            not_repeatable_ran_twice: executions_by_key.values().filter(|count| **count > 1).count()
                as u64,
            new_work_while_leaving: late_requests,
            samples_delivered: training.samples,
            samples_doubled: training.doubled,
            samples_too_old: training.too_old,
            samples_wrong_version: training.wrong_version,
            samples_wrong_reward: training.wrong_reward,
            steps: training.steps,
            trainer_idle_share: training.idle_ms as f64 / training.total_ms.max(1) as f64,
            staleness_mean: training.staleness_sum as f64 / training.samples.max(1) as f64,
            latency_added_p50_us: added(0.5),
            latency_added_p99_us: added(0.99),
            refusal_codes: observations.error_codes.clone(),
        })
    }

    /// Names of the violated guarantees.
    ///
    /// With injected faults a daemon may crash with requests in flight, so lost responses and unknown
    /// outcomes are tolerated.
    pub fn violations(&self, min_steps: u64, with_faults: bool) -> Vec<&'static str> {
        let counts = [
            ("answers_wrong", self.answers_wrong),
            ("refused_but_ran", self.refused_but_ran),
            ("forbidden_passed", self.forbidden_passed),
            ("not_repeatable_ran_twice", self.not_repeatable_ran_twice),
            ("new_work_while_leaving", self.new_work_while_leaving),
            ("samples_doubled", self.samples_doubled),
            ("samples_too_old", self.samples_too_old),
            ("samples_wrong_version", self.samples_wrong_version),
            ("samples_wrong_reward", self.samples_wrong_reward),
            ("steps", u64::from(self.steps < min_steps)),
            ("answers_whole", u64::from(self.answers_whole == 0)),
            ("answers_lost", if with_faults { 0 } else { self.answers_lost }),
            ("answers_unknown", if with_faults { 0 } else { self.answers_unknown }),
        ];
        counts.into_iter().filter(|(_, count)| *count > 0).map(|(name, _)| name).collect()
    }
}

impl TrainerReport {
    fn add(&mut self, other: &Self) {
        self.steps += other.steps;
        self.samples += other.samples;
        self.doubled += other.doubled;
        self.too_old += other.too_old;
        self.wrong_version += other.wrong_version;
        self.wrong_reward += other.wrong_reward;
        self.staleness_sum += other.staleness_sum;
        self.idle_ms += other.idle_ms;
        self.total_ms += other.total_ms;
    }
}

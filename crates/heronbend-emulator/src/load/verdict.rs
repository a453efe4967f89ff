//! What the load saw, held against what the stand-ins noted.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use hdrhistogram::Histogram;
use heronbend_http::Client;
use serde::Serialize;

use crate::ledger::Ledger;
use crate::registration::get_json;
use crate::trainer::TrainerReport;

/// Highest latency that is told apart, in microseconds.
const MAX_LATENCY_MICROS: u64 = 60_000_000;

/// What the load saw.
pub struct Observations {
    /// Requests sent.
    pub requests: u64,
    /// Whole and right answers.
    pub whole: u64,
    /// Requests without an answer.
    pub lost: u64,
    /// Whole answers that are not the request's own, or not true.
    pub wrong: u64,
    /// Requests refused as not run, by identifier.
    pub refused_not_run: BTreeSet<String>,
    /// Requests answered with an unknown outcome.
    pub unknown: u64,
    /// Requests with a forbidden caller that were not answered 403.
    pub forbidden_passed: u64,
    /// Latency through a daemon, in microseconds.
    pub through: Histogram<u64>,
    /// Latency of the same request sent directly, in microseconds.
    pub direct: Histogram<u64>,
    /// Refusals by code.
    pub codes: BTreeMap<String, u64>,
}

impl Default for Observations {
    fn default() -> Self {
        let histogram = || Histogram::new_with_max(MAX_LATENCY_MICROS, 3).expect("valid bounds");
        Self {
            requests: 0,
            whole: 0,
            lost: 0,
            wrong: 0,
            refused_not_run: BTreeSet::new(),
            unknown: 0,
            forbidden_passed: 0,
            through: histogram(),
            direct: histogram(),
            codes: BTreeMap::new(),
        }
    }
}

/// The last line of a run.
#[derive(Debug, Serialize)]
pub struct Verdict {
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

impl Verdict {
    /// Reads the ledgers and compares.
    pub async fn judge(
        seen: &Observations,
        engines: &[SocketAddr],
        apps: &[SocketAddr],
        trainers: &[SocketAddr],
    ) -> anyhow::Result<Self> {
        let client = Client::new();
        let mut ran = BTreeSet::new();
        let mut by_key: BTreeMap<String, u64> = BTreeMap::new();
        let mut late_work = 0;
        for address in engines.iter().chain(apps) {
            let ledger: Ledger = match get_json(&client, *address, "/ledger").await {
                Ok(ledger) => ledger,
                Err(error) => {
                    log::warn!("event=ledger_missing address={address} error={error:?}");
                    continue;
                }
            };
            late_work += ledger.new_work_while_leaving;
            ran.extend(ledger.runs.into_iter().map(|run| run.caller_request));
            for execution in ledger.executions {
                ran.insert(execution.caller_request);
                if let Some(key) = execution.idempotency_key {
                    *by_key.entry(key).or_default() += 1;
                }
            }
        }
        let mut training = TrainerReport::default();
        for address in trainers {
            let report: TrainerReport = get_json(&client, *address, "/report").await?;
            training.add(&report);
        }
        let added = |quantile: f64| {
            let through = seen.through.value_at_quantile(quantile) as i64;
            through - seen.direct.value_at_quantile(quantile) as i64
        };
        Ok(Self {
            requests: seen.requests,
            answers_whole: seen.whole,
            answers_lost: seen.lost,
            answers_wrong: seen.wrong,
            answers_unknown: seen.unknown,
            refused_not_run: seen.refused_not_run.len() as u64,
            refused_but_ran: seen.refused_not_run.intersection(&ran).count() as u64,
            forbidden_passed: seen.forbidden_passed,
            not_repeatable_ran_twice: by_key.values().filter(|count| **count > 1).count() as u64,
            new_work_while_leaving: late_work,
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
            refusal_codes: seen.codes.clone(),
        })
    }

    /// Names of the counts that must be 0 and are not. With faults a daemon may die with requests
    /// in flight, so that lost and unknown answers are counted but are no broken promise.
    pub fn broken_promises(&self, min_steps: u64, with_faults: bool) -> Vec<&'static str> {
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

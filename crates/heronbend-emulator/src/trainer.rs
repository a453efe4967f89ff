//! Emulated trainer: posts steps, fetches numbered batches, validates every sample and publishes
//! weight versions.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use clap::Args;
use heronbend::rollout::api::{Batch, StepRequest};
use heronbend::rollout::{Sample, SlotIndex};
use heronbend_http::http_types::{Method, Request, StatusCode};
use heronbend_http::{json_response, Client, ErrorBody};
use serde::{Deserialize, Serialize};
use smol::Timer;

use crate::model_text::{prompt_digest, reward_milli, tokens, unlimited_length};
use crate::registration::{put_json, url};
use crate::service::{not_found, serve};

const FETCH_TIMEOUT: Duration = Duration::from_secs(15);
const RETRY_DELAY: Duration = Duration::from_millis(20);
const MAX_BATCH_BYTES: usize = 1 << 26;

/// Flags of `trainer`.
#[derive(Args)]
pub struct TrainerArguments {
    /// Name of the trainer in the settings.
    #[arg(long)]
    name: String,
    /// Name of the trained model.
    #[arg(long)]
    model: String,
    /// Bearer token for the daemons.
    #[arg(long)]
    token: String,
    /// Addresses of the daemons; the trainer switches to the next one on failure.
    #[arg(long, value_delimiter = ',', required = true)]
    daemons: Vec<SocketAddr>,
    /// Address of the platform.
    #[arg(long)]
    platform: SocketAddr,
    /// Address on which `GET /report` is served.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Number of prompts per step.
    #[arg(long, default_value_t = 16)]
    prompts: u32,
    /// Number of samples per prompt.
    #[arg(long, default_value_t = 4)]
    samples: u32,
    /// Maximum number of tokens per sample.
    #[arg(long, default_value_t = 512)]
    max_tokens: u32,
    /// Training time per step, in milliseconds.
    #[arg(long, default_value_t = 300)]
    train_ms: u64,
    /// Maximum staleness of a sample, in versions; with 1 or more, the next step is generated during
    /// training.
    #[arg(long, default_value_t = 1)]
    bound: u64,
    /// Number of the last step; 0 means no limit.
    #[arg(long, default_value_t = 0)]
    steps: u64,
    /// Number of the first step to post.
    #[arg(long, default_value_t = 1)]
    first_step: u64,
}

/// Statistics of the received samples, served at `GET /report`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct TrainerReport {
    /// Number of completed steps.
    pub steps: u64,
    /// Number of received samples.
    pub samples: u64,
    /// Number of samples whose slot had already been received in the step.
    pub doubled: u64,
    /// Number of samples with a segment older than the requested floor.
    pub too_old: u64,
    /// Number of samples whose text does not match the versions of their segments.
    pub wrong_version: u64,
    /// Number of samples whose reward differs from the scorer's.
    pub wrong_reward: u64,
    /// Sum of the samples' staleness, in versions.
    pub staleness_sum: u64,
    /// Number of received tokens.
    pub tokens: u64,
    /// Time spent waiting for samples, in milliseconds.
    pub idle_ms: u64,
    /// Time from the trainer's start to its last completed step, in milliseconds.
    pub total_ms: u64,
    /// Newest published weight version.
    pub version: u64,
    /// Number of the step being received.
    pub step: u64,
}

struct Trainer {
    arguments: TrainerArguments,
    client: Client,
    report: Rc<RefCell<TrainerReport>>,
    current_daemon: usize,
    idle: Duration,
    received_slots: BTreeSet<SlotIndex>,
}

/// Runs the trainer until the process exits.
pub fn run(arguments: TrainerArguments) -> anyhow::Result<()> {
    serve(arguments.listen, move |executor, address| {
        log::info!("event=started role=trainer name={} address={address}", arguments.name);
        let report = Rc::<RefCell<TrainerReport>>::default();
        let trainer = Trainer {
            arguments,
            client: Client::new(),
            report: report.clone(),
            current_daemon: 0,
            idle: Duration::ZERO,
            received_slots: BTreeSet::new(),
        };
        executor.spawn(trainer.run()).detach();
        Ok(move |request: Request| {
            let report = report.clone();
            async move {
                match request.url().path() {
                    "/report" => json_response(StatusCode::Ok, &*report.borrow()),
                    path => not_found(path),
                }
            }
        })
    })
}

impl Trainer {
    async fn run(mut self) {
        let start = Instant::now();
        let mut version = self.arguments.first_step;
        let mut step = self.arguments.first_step;
        self.publish(version).await;
        self.post_step(step, version).await;
        loop {
            self.receive_step(step, version).await;
            let last_step = self.arguments.steps > 0 && step >= self.arguments.steps;
            let generates_ahead = self.arguments.bound > 0 && !last_step;
            if generates_ahead {
                self.post_step(step + 1, version).await;
            }
            Timer::after(Duration::from_millis(self.arguments.train_ms)).await;
            version += 1;
            self.publish(version).await;
            {
                let mut report = self.report.borrow_mut();
                report.steps += 1;
                report.idle_ms = self.idle.as_millis() as u64;
                report.total_ms = start.elapsed().as_millis() as u64;
                report.version = version;
            }
            if last_step {
                return;
            }
            step += 1;
            if !generates_ahead {
                self.post_step(step, version).await;
            }
        }
    }

    fn prompts(&self, step: u64) -> Vec<String> {
        let name = &self.arguments.name;
        (0..self.arguments.prompts)
            .map(|prompt| format!("{name}: trace {prompt} of step {step}"))
            .collect()
    }

    async fn publish(&mut self, version: u64) {
        let path = format!("/weights/{}/{version}", self.arguments.model);
        while put_json(&self.client, self.arguments.platform, &path, &()).await.is_err() {
            Timer::after(RETRY_DELAY).await;
        }
    }

    /// Posts a step until a daemon accepts it.
    async fn post_step(&mut self, step: u64, version: u64) {
        let body = StepRequest {
            prompts: self.prompts(step),
            samples_per_prompt: self.arguments.samples,
            max_tokens: self.arguments.max_tokens,
            version,
        };
        let path = format!("/v1/rollouts/{}/steps/{step}", self.arguments.name);
        loop {
            let bytes = serde_json::to_vec(&body).expect("a step can be serialised");
            match self.send(Method::Post, &path, bytes).await {
                Some((status, _)) if status.is_success() || status == StatusCode::Gone => return,
                _ => self.try_next_daemon().await,
            }
        }
    }

    async fn receive_step(&mut self, step: u64, version: u64) {
        let floor = version.saturating_sub(self.arguments.bound);
        let mut number = 0;
        self.received_slots.clear();
        self.report.borrow_mut().step = step;
        loop {
            let path = format!(
                "/v1/rollouts/{}/steps/{step}/batches/{number}?floor={floor}",
                self.arguments.name
            );
            let waiting_since = Instant::now();
            let response = self.send(Method::Get, &path, Vec::new()).await;
            self.idle += waiting_since.elapsed();
            match response {
                Some((StatusCode::Ok, bytes)) => {
                    let Ok(batch) = serde_json::from_slice::<Batch>(&bytes) else {
                        log::error!("event=unreadable_batch step={step} number={number}");
                        continue;
                    };
                    self.check_batch(step, version, floor, &batch);
                    number += 1;
                    if batch.last {
                        break;
                    }
                }
                Some((StatusCode::NoContent, _)) => {}
                // The daemons lost the step's state and restarted it: discards the received batches.
                Some((StatusCode::Conflict, bytes)) if is_step_restarted(&bytes) => {
                    number = 0;
                    self.received_slots.clear();
                }
                // The daemon does not coordinate the step or has failed: posts the step to the next one.
                _ => {
                    self.try_next_daemon().await;
                    self.post_step(step, version).await;
                }
            }
        }
        let path = format!(
            "/v1/rollouts/{}/steps/{step}/complete?batch={}",
            self.arguments.name,
            number - 1
        );
        while !matches!(
            self.send(Method::Post, &path, Vec::new()).await,
            Some((status, _)) if status.is_success()
        ) {
            self.try_next_daemon().await;
        }
    }

    fn check_batch(&mut self, step: u64, version: u64, floor: u64, batch: &Batch) {
        let prompts = self.prompts(step);
        let mut report = self.report.borrow_mut();
        for sample in &batch.samples {
            report.samples += 1;
            report.tokens += u64::from(sample.tokens());
            report.doubled += u64::from(!self.received_slots.insert(sample.slot));
            report.too_old += u64::from(!sample.is_fresh(floor));
            let oldest = sample.oldest_version().unwrap_or(0);
            report.staleness_sum += version.saturating_sub(oldest);
            let prompt = prompts.get((sample.slot.0 / self.arguments.samples) as usize);
            let valid = prompt
                .is_some_and(|prompt| is_valid_sample(sample, prompt, self.arguments.max_tokens));
            report.wrong_version += u64::from(!valid);
            report.wrong_reward += u64::from(sample.reward_milli != reward_milli(&sample.text));
        }
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Option<(StatusCode, Vec<u8>)> {
        let address = self.arguments.daemons[self.current_daemon];
        let mut request = Request::new(method, url(address, path).ok()?);
        request.insert_header("authorization", format!("Bearer {}", self.arguments.token));
        request.set_body(body);
        let response = self.client.fetch(address, request, FETCH_TIMEOUT, MAX_BATCH_BYTES).await;
        match response {
            Ok((status, bytes)) => {
                if !status.is_success() {
                    let text = String::from_utf8_lossy(&bytes);
                    log::info!("event=refused path={path} status={status} body={text}");
                }
                Some((status, bytes))
            }
            Err(error) => {
                log::info!("event=daemon_failed path={path} error={error:?}");
                None
            }
        }
    }

    async fn try_next_daemon(&mut self) {
        self.current_daemon = (self.current_daemon + 1) % self.arguments.daemons.len();
        Timer::after(RETRY_DELAY).await;
    }
}

/// Whether an error response means that the step restarts from its first batch.
fn is_step_restarted(body: &[u8]) -> bool {
    serde_json::from_slice::<ErrorBody>(body).is_ok_and(|body| body.error.code == "step_refused")
}

/// Whether a sample's text is complete and matches the versions of its segments.
pub fn is_valid_sample(sample: &Sample, prompt: &str, max_tokens: u32) -> bool {
    let digest = prompt_digest(prompt);
    let mut text = String::new();
    let mut next = 0;
    for segment in &sample.segments {
        if segment.start != next {
            return false;
        }
        next = segment.end;
        text += &tokens(digest, sample.seed, segment.version, segment.start, segment.end);
    }
    next == unlimited_length(digest, sample.seed).min(max_tokens) && text == sample.text
}

//! Stand-in for a trainer: posts steps, fetches numbered batches, checks every sample, publishes
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

use crate::model_text::{natural_length, prompt_digest, reward_milli, tokens};
use crate::registration::{put_json, url};
use crate::service::{not_found, serve};

const FETCH_TIMEOUT: Duration = Duration::from_secs(15);
const RETRY_DELAY: Duration = Duration::from_millis(20);
const MAX_BATCH_BYTES: usize = 1 << 26;

/// Flags of `trainer`.
#[derive(Args)]
pub struct TrainerArguments {
    /// Name in the settings.
    #[arg(long)]
    name: String,
    /// Model that it trains.
    #[arg(long)]
    model: String,
    /// Bearer token.
    #[arg(long)]
    token: String,
    /// Daemons, tried in turn.
    #[arg(long, value_delimiter = ',', required = true)]
    daemons: Vec<SocketAddr>,
    /// The platform.
    #[arg(long)]
    platform: SocketAddr,
    /// Where to answer `GET /report`.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Prompts a step.
    #[arg(long, default_value_t = 16)]
    prompts: u32,
    /// Samples a prompt.
    #[arg(long, default_value_t = 4)]
    samples: u32,
    /// Most tokens of a sample.
    #[arg(long, default_value_t = 512)]
    max_tokens: u32,
    /// Time to train on one step, in milliseconds.
    #[arg(long, default_value_t = 300)]
    train_ms: u64,
    /// How many versions a sample may be behind; with 1 or more the next step is drawn while this
    /// one is trained on.
    #[arg(long, default_value_t = 1)]
    bound: u64,
    /// Stop after this many steps; 0 goes on.
    #[arg(long, default_value_t = 0)]
    steps: u64,
    /// Where to go on after a restart: the step to post next.
    #[arg(long, default_value_t = 1)]
    first_step: u64,
}

/// What the trainer received, by its own count.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct TrainerReport {
    /// Steps received whole.
    pub steps: u64,
    /// Samples received.
    pub samples: u64,
    /// Samples of a slot that was received before.
    pub doubled: u64,
    /// Samples with a segment older than the fetch's floor.
    pub too_old: u64,
    /// Samples whose text is not what their versions produce.
    pub wrong_version: u64,
    /// Samples whose reward is not the scorer's.
    pub wrong_reward: u64,
    /// Sum over samples of versions behind the trainer's own.
    pub staleness_sum: u64,
    /// Tokens received.
    pub tokens: u64,
    /// Time spent waiting for samples, in milliseconds.
    pub idle_ms: u64,
    /// Time since the first step was posted, in milliseconds.
    pub total_ms: u64,
    /// The newest version.
    pub version: u64,
    /// The step being received.
    pub step: u64,
}

struct Trainer {
    arguments: TrainerArguments,
    client: Client,
    report: Rc<RefCell<TrainerReport>>,
    daemon: usize,
    idle: Duration,
    seen: BTreeSet<SlotIndex>,
}

/// Runs the stand-in until the process is ended.
pub fn run(arguments: TrainerArguments) -> anyhow::Result<()> {
    serve(arguments.listen, move |executor, address| {
        log::info!("event=started role=trainer name={} address={address}", arguments.name);
        let report = Rc::<RefCell<TrainerReport>>::default();
        let trainer = Trainer {
            arguments,
            client: Client::new(),
            report: report.clone(),
            daemon: 0,
            idle: Duration::ZERO,
            seen: BTreeSet::new(),
        };
        executor.spawn(trainer.train()).detach();
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
    async fn train(mut self) {
        let start = Instant::now();
        let mut version = self.arguments.first_step;
        let mut step = self.arguments.first_step;
        self.publish(version).await;
        self.post_step(step, version).await;
        loop {
            self.receive_step(step, version).await;
            let last_step = self.arguments.steps > 0 && step >= self.arguments.steps;
            let draws_ahead = self.arguments.bound > 0 && !last_step;
            if draws_ahead {
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
            if !draws_ahead {
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

    /// Posts a step until some daemon takes it.
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
        self.seen.clear();
        self.report.borrow_mut().step = step;
        loop {
            let path = format!(
                "/v1/rollouts/{}/steps/{step}/batches/{number}?floor={floor}",
                self.arguments.name
            );
            let waiting_since = Instant::now();
            let answer = self.send(Method::Get, &path, Vec::new()).await;
            self.idle += waiting_since.elapsed();
            match answer {
                Some((StatusCode::Ok, bytes)) => {
                    let Ok(batch) = serde_json::from_slice::<Batch>(&bytes) else {
                        log::error!("event=unreadable_batch step={step} number={number}");
                        continue;
                    };
                    self.take_batch(step, version, floor, &batch);
                    number += 1;
                    if batch.last {
                        break;
                    }
                }
                Some((StatusCode::NoContent, _)) => {}
                // The step's record was lost and begins anew: what was received of it is discarded.
                Some((StatusCode::Conflict, bytes)) if is_begun_anew(&bytes) => {
                    number = 0;
                    self.seen.clear();
                }
                // The daemon does not coordinate the step, or is gone: hand it the step again.
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

    fn take_batch(&mut self, step: u64, version: u64, floor: u64, batch: &Batch) {
        let prompts = self.prompts(step);
        let mut report = self.report.borrow_mut();
        for sample in &batch.samples {
            report.samples += 1;
            report.tokens += u64::from(sample.tokens());
            report.doubled += u64::from(!self.seen.insert(sample.slot));
            report.too_old += u64::from(!sample.is_fresh(floor));
            let oldest = sample.oldest_version().unwrap_or(0);
            report.staleness_sum += version.saturating_sub(oldest);
            let prompt = prompts.get((sample.slot.0 / self.arguments.samples) as usize);
            let genuine =
                prompt.is_some_and(|prompt| is_genuine(sample, prompt, self.arguments.max_tokens));
            report.wrong_version += u64::from(!genuine);
            report.wrong_reward += u64::from(sample.reward_milli != reward_milli(&sample.text));
        }
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Option<(StatusCode, Vec<u8>)> {
        let address = self.arguments.daemons[self.daemon];
        let mut request = Request::new(method, url(address, path).ok()?);
        request.insert_header("authorization", format!("Bearer {}", self.arguments.token));
        request.set_body(body);
        let answer = self.client.fetch(address, request, FETCH_TIMEOUT, MAX_BATCH_BYTES).await;
        match answer {
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
        self.daemon = (self.daemon + 1) % self.arguments.daemons.len();
        Timer::after(RETRY_DELAY).await;
    }
}

/// Whether a refusal says that batches are to be fetched from the first again.
fn is_begun_anew(body: &[u8]) -> bool {
    serde_json::from_slice::<ErrorBody>(body).is_ok_and(|body| body.error.code == "step_refused")
}

/// Whether a sample's text is just what its versions produce, and whole.
pub fn is_genuine(sample: &Sample, prompt: &str, max_tokens: u32) -> bool {
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
    next == natural_length(digest, sample.seed).min(max_tokens) && text == sample.text
}

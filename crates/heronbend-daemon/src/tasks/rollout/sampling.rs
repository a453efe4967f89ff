//! Generates and scores the samples of steps.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use heronbend::rollout::{AttemptFailure, AttemptId, Effect, Sample, SlotIndex};
use heronbend_http::http_types::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use smol::Timer;

use super::messages::StepName;
use super::step::Step;
use super::RolloutManager;
use crate::dispatch::ApplicationRequest;
use crate::dispatch::DispatchError;
use crate::generation::{generate, GenerationError, GenerationRequest, NullSink};

/// Interval at which step progress is published to the daemon's status.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(500);
const IDLE_SCHEDULE_INTERVAL: Duration = Duration::from_millis(100);
/// A step that is not fetched for this long is dropped by this daemon; another may take it over.
const FETCH_IDLE_TIMEOUT: Duration = Duration::from_secs(600);
const SCHEDULE_INTERVAL: Duration = Duration::from_millis(10);

impl RolloutManager {
    /// Schedules attempts of all active steps, publishes their progress and drops idle ones.
    pub(super) async fn schedule_steps(self) {
        let mut last_published = Instant::now();
        loop {
            let is_idle = self.steps.borrow().is_empty();
            Timer::after(if is_idle { IDLE_SCHEDULE_INTERVAL } else { SCHEDULE_INTERVAL }).await;
            let steps: Vec<Rc<Step>> = self.steps.borrow().values().cloned().collect();
            if last_published.elapsed() >= PUBLISH_INTERVAL {
                last_published = Instant::now();
                let status = steps.iter().map(|step| step.status()).collect();
                self.shared.steps.store(Arc::new(status));
            }
            for step in steps {
                if step.state.borrow().last_fetch.elapsed() > FETCH_IDLE_TIMEOUT {
                    self.stop_step(&step.name, "not fetched");
                } else if !self.shared.is_draining() && self.may_sample(&step) {
                    self.schedule(&step);
                }
            }
        }
    }

    /// Returns whether a step may be sampled: it is its trainer's oldest, or the trainer samples
    /// ahead.
    fn may_sample(&self, step: &Step) -> bool {
        if step.policy.samples_ahead {
            return true;
        }
        let steps = self.steps.borrow();
        let oldest = steps.keys().find(|name| name.trainer == step.name.trainer);
        oldest == Some(&step.name)
    }

    /// Starts attempts up to the number of free engine slots.
    pub(super) fn schedule(&self, step: &Rc<Step>) {
        let Some(settings) = self.shared.settings.load_full() else {
            return;
        };
        let Some(pool) = settings.policy.pools.get(&step.policy.pool) else {
            return;
        };
        let floor = step.state.borrow().floor;
        let free_slots = self.dispatcher.free_slots(pool, Some(floor));
        if free_slots == 0 {
            return;
        }
        let effects = step.state.borrow_mut().coordinator.schedule(self.shared.now(), free_slots);
        self.apply(step, effects);
    }

    /// Starts and cancels attempts as requested by the coordinator.
    pub(super) fn apply(&self, step: &Rc<Step>, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Start { attempt, slot } => {
                    let (manager, sampled_step) = (self.clone(), step.clone());
                    let task = self.executor.spawn(async move {
                        manager.run_attempt(&sampled_step, attempt, slot).await;
                    });
                    step.state.borrow_mut().attempts.insert(attempt, task);
                }
                // Dropping the task closes the engine's stream, which cancels the generation.
                Effect::Cancel { attempt } => {
                    drop(step.state.borrow_mut().attempts.remove(&attempt))
                }
            }
        }
    }

    /// Runs one attempt and reports its result to the coordinator.
    async fn run_attempt(&self, step: &Rc<Step>, attempt: AttemptId, slot: SlotIndex) {
        let sample = self.generate_and_score(step, slot).await;
        let effects = {
            let mut state = step.state.borrow_mut();
            // Detach the handle: dropping it would cancel the current task.
            if let Some(task) = state.attempts.remove(&attempt) {
                task.detach();
            }
            match sample {
                Ok(sample) => {
                    self.shared.metrics.samples_drawn.inc();
                    state.coordinator.on_completed(attempt, sample)
                }
                Err(failure) => {
                    self.shared.metrics.draws_failed.inc();
                    state.coordinator.on_failed(self.shared.now(), attempt, failure);
                    Vec::new()
                }
            }
        };
        self.apply(step, effects);
        self.schedule(step);
    }

    /// Generates a sample and requests its reward from the scorer pool.
    async fn generate_and_score(
        &self,
        step: &Step,
        slot: SlotIndex,
    ) -> Result<Sample, AttemptFailure> {
        const OTHER: AttemptFailure = AttemptFailure::Other;
        let settings = self.shared.settings.load_full().ok_or(OTHER)?;
        let pool = settings.policy.pools.get(&step.policy.pool).ok_or(OTHER)?;
        let scorer = settings.policy.pools.get(&step.policy.scorer).ok_or(OTHER)?;
        let prompt = step.request.prompts.get(step.plan.prompt_of(slot) as usize).ok_or(OTHER)?;
        let floor = step.state.borrow().floor;
        let seed = seed_for(&step.name, slot);
        let caller_request = format!("{}:step-{}-{}", step.name.trainer, step.name.step, slot.0);
        let request = GenerationRequest {
            model: step.policy.model.clone(),
            prompt: prompt.clone(),
            max_tokens: step.request.max_tokens,
            seed,
            priority: 1,
            min_version: Some(floor),
            caller_request: caller_request.clone(),
            is_owed: true,
        };
        let generated = generate(&self.dispatcher, pool, &request, &mut NullSink).await;
        let generated = generated.map_err(|error| match error {
            GenerationError::Dispatch(error) => failure_of(&error),
            GenerationError::ClientGone => OTHER,
        })?;
        let body =
            serde_json::to_vec(&ScoreRequest { text: &generated.text }).map_err(|_| OTHER)?;
        let score_request = ApplicationRequest {
            method: Method::Post,
            target: "/score".to_owned(),
            headers: Vec::new(),
            body,
            caller_request,
            idempotent: true,
            is_owed: true,
        };
        let response = self.dispatcher.send_to_application(scorer, &score_request).await;
        let response = response.map_err(|error| failure_of(&error))?;
        if response.status != StatusCode::Ok {
            return Err(OTHER);
        }
        let score: Score = serde_json::from_slice(&response.body).map_err(|_| OTHER)?;
        Ok(Sample {
            slot,
            seed,
            text: generated.text,
            segments: generated.segments,
            finish_reason: generated.finish_reason,
            reward_milli: score.reward_milli,
        })
    }
}

/// Whether an attempt may have lost the backend that ran it.
fn failure_of(error: &DispatchError) -> AttemptFailure {
    match error {
        DispatchError::Unknown(_) => AttemptFailure::BackendLost,
        _ => AttemptFailure::Other,
    }
}

#[derive(Serialize)]
struct ScoreRequest<'a> {
    text: &'a str,
}

#[derive(Deserialize)]
struct Score {
    reward_milli: i64,
}

/// Returns the sampling seed of a slot, which is the same for all its attempts.
fn seed_for(name: &StepName, slot: SlotIndex) -> u64 {
    let text = format!("{}/{}/{}", name.trainer, name.step, slot.0);
    rapidhash::v3::rapidhash_v3(text.as_bytes())
}

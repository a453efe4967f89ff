//! Draws the samples of steps and has them scored.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use heronbend::rollout::{AttemptId, Effect, Sample, SlotIndex};
use heronbend_http::http_types::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use smol::Timer;

use super::messages::StepName;
use super::step::Step;
use super::RolloutDuty;
use crate::dispatch::ApplicationRequest;
use crate::generation::{generate, GenerationRequest, NoSink};

/// Interval at which the steps are shown in the daemon's status.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(500);
const IDLE_PUMP_INTERVAL: Duration = Duration::from_millis(100);
/// A step without a fetch for this long is given up by this daemon; another may take it over.
const ABANDON_AFTER: Duration = Duration::from_secs(600);
const PUMP_INTERVAL: Duration = Duration::from_millis(10);

impl RolloutDuty {
    pub(super) async fn keep_pumping(self) {
        let mut last_published = Instant::now();
        loop {
            let is_idle = self.steps.borrow().is_empty();
            Timer::after(if is_idle { IDLE_PUMP_INTERVAL } else { PUMP_INTERVAL }).await;
            let steps: Vec<Rc<Step>> = self.steps.borrow().values().cloned().collect();
            if last_published.elapsed() >= PUBLISH_INTERVAL {
                last_published = Instant::now();
                let status = steps.iter().map(|step| step.status()).collect();
                self.shared.steps.store(Arc::new(status));
            }
            for step in steps {
                if step.state.borrow().last_fetch.elapsed() > ABANDON_AFTER {
                    self.abandon(&step.name, "not fetched");
                } else if !self.shared.is_draining() && self.is_its_turn(&step) {
                    self.pump(&step);
                }
            }
        }
    }

    /// Whether a step may be drawn now: it is its trainer's oldest, or the trainer draws ahead.
    fn is_its_turn(&self, step: &Step) -> bool {
        if step.policy.draws_ahead {
            return true;
        }
        let steps = self.steps.borrow();
        let oldest = steps.keys().find(|name| name.trainer == step.name.trainer);
        oldest == Some(&step.name)
    }

    /// Starts as many draws as the engines have places for.
    pub(super) fn pump(&self, step: &Rc<Step>) {
        let Some(settings) = self.shared.settings.load_full() else {
            return;
        };
        let Some(pool) = settings.policy.pools.get(&step.policy.pool) else {
            return;
        };
        let floor = step.state.borrow().floor;
        let places = self.dispatcher.free_places(pool, Some(floor));
        if places == 0 {
            return;
        }
        let effects = step.state.borrow_mut().coordinator.schedule(self.shared.now(), places);
        self.apply(step, effects);
    }

    pub(super) fn apply(&self, step: &Rc<Step>, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Start { attempt, slot } => {
                    let (duty, drawn_step) = (self.clone(), step.clone());
                    let task = self.executor.spawn(async move {
                        duty.draw(&drawn_step, attempt, slot).await;
                    });
                    step.state.borrow_mut().draws.insert(attempt, task);
                }
                // Dropping the task closes the engine's stream, which cancels it there.
                Effect::Cancel { attempt } => drop(step.state.borrow_mut().draws.remove(&attempt)),
            }
        }
    }

    async fn draw(&self, step: &Rc<Step>, attempt: AttemptId, slot: SlotIndex) {
        let drawn = self.draw_and_score(step, slot).await;
        let effects = {
            let mut state = step.state.borrow_mut();
            // Detached rather than dropped: this very task is about to end by itself.
            if let Some(task) = state.draws.remove(&attempt) {
                task.detach();
            }
            match drawn {
                Some(sample) => {
                    self.shared.metrics.samples_drawn.inc();
                    state.coordinator.on_completed(attempt, sample)
                }
                None => {
                    self.shared.metrics.draws_failed.inc();
                    state.coordinator.on_failed(self.shared.now(), attempt);
                    Vec::new()
                }
            }
        };
        self.apply(step, effects);
        self.pump(step);
    }

    async fn draw_and_score(&self, step: &Step, slot: SlotIndex) -> Option<Sample> {
        let settings = self.shared.settings.load_full()?;
        let pool = settings.policy.pools.get(&step.policy.pool)?;
        let scorer = settings.policy.pools.get(&step.policy.scorer)?;
        let prompt = step.request.prompts.get(step.plan.prompt_of(slot) as usize)?;
        let floor = step.state.borrow().floor;
        let seed = sample_seed(&step.name, slot);
        let caller_request = format!("{}:step-{}-{}", step.name.trainer, step.name.step, slot.0);
        let request = GenerationRequest {
            model: step.policy.model.clone(),
            prompt: prompt.clone(),
            max_tokens: step.request.max_tokens,
            seed,
            priority: 1,
            min_version: Some(floor),
            caller_request: caller_request.clone(),
        };
        let generated = generate(&self.dispatcher, pool, &request, &mut NoSink).await.ok()?;
        let body = serde_json::to_vec(&ScoreRequest { text: &generated.text }).ok()?;
        let scoring = ApplicationRequest {
            method: Method::Post,
            target: "/score".to_owned(),
            headers: Vec::new(),
            body,
            caller_request,
            repeatable: true,
        };
        let answer = self.dispatcher.send_to_application(scorer, &scoring).await.ok()?;
        if answer.status != StatusCode::Ok {
            return None;
        }
        let score: Score = serde_json::from_slice(&answer.body).ok()?;
        Some(Sample {
            slot,
            seed,
            text: generated.text,
            segments: generated.segments,
            finish_reason: generated.finish_reason,
            reward_milli: score.reward_milli,
        })
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

/// The seed of a slot; the same for every attempt to draw it.
fn sample_seed(name: &StepName, slot: SlotIndex) -> u64 {
    let text = format!("{}/{}/{}", name.trainer, name.step, slot.0);
    rapidhash::v3::rapidhash_v3(text.as_bytes())
}

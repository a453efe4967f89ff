//! Continuous batching: each iteration draws one token for every running sequence.

use heronbend::external::engine::{
    ChunkChoice, ChunkStamp, ExportResponse, GenerateChunk, GenerateRequest,
};
use heronbend::identity::Incarnation;
use heronbend::rollout::FinishReason;
use heronbend_http::stream_body::{BodySender, SendState};

use super::prefix_cache::PrefixCache;
use crate::ledger::Run;
use crate::model_text::{natural_length, prompt_digest, push_token};

/// Work of computing a prompt that is not in the cache, counted in sequences of one iteration.
const PREFILL_WORK: usize = 8;
const STREAM_END: &[u8] = b"data: [DONE]\n\n";

/// One generation.
pub struct Sequence {
    attempt: String,
    caller_request: String,
    prompt: String,
    digest: u64,
    seed: u64,
    priority: i32,
    first: u32,
    position: u32,
    end: u32,
    finish_reason: FinishReason,
    has_kv: bool,
    sender: BodySender,
}

impl Sequence {
    /// A generation that feeds `sender`.
    pub fn new(
        attempt: &str,
        caller_request: &str,
        request: &GenerateRequest,
        sender: BodySender,
    ) -> Self {
        let digest = prompt_digest(&request.prompt);
        let natural = natural_length(digest, request.seed);
        let resumed = request.resume.as_ref();
        let first = resumed.map_or(0, |resume| resume.tokens);
        Self {
            attempt: attempt.to_owned(),
            caller_request: caller_request.to_owned(),
            prompt: request.prompt.clone(),
            digest,
            seed: request.seed,
            priority: request.priority,
            first,
            position: first,
            end: natural.min(request.max_tokens).max(first),
            finish_reason: if natural <= request.max_tokens {
                FinishReason::Stop
            } else {
                FinishReason::Length
            },
            has_kv: resumed.is_some_and(|resume| resume.kv_handle.is_some()),
            sender,
        }
    }

    fn note(&self, finished: bool) -> Run {
        Run {
            attempt: self.attempt.clone(),
            caller_request: self.caller_request.clone(),
            tokens: self.position - self.first,
            finished,
        }
    }
}

enum Advance {
    Continue,
    Finished,
    Cancelled,
}

/// The running and waiting sequences of an engine.
pub struct Batch {
    engine: String,
    incarnation: Incarnation,
    max_running: usize,
    running: Vec<Sequence>,
    waiting: Vec<Sequence>,
    /// Prefix cache.
    pub cache: PrefixCache,
}

impl Batch {
    /// An empty batch.
    pub fn new(engine: String, incarnation: Incarnation, max_running: usize) -> Self {
        Self {
            engine,
            incarnation,
            max_running,
            running: Vec::new(),
            waiting: Vec::new(),
            cache: PrefixCache::default(),
        }
    }

    /// Sequences that are drawn from.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Sequences that wait for a place.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a sequence.
    pub fn enqueue(&mut self, sequence: Sequence) {
        self.waiting.push(sequence);
    }

    /// Draws one token a sequence from `version`; the work done, counted in sequences.
    pub fn iterate(&mut self, version: u64, runs: &mut Vec<Run>) -> usize {
        let prefill = self.admit(runs);
        let mut index = 0;
        while index < self.running.len() {
            let advance =
                advance(&mut self.running[index], version, &self.engine, self.incarnation);
            match advance {
                Advance::Continue => index += 1,
                Advance::Finished => runs.push(self.running.swap_remove(index).note(true)),
                Advance::Cancelled => runs.push(self.running.swap_remove(index).note(false)),
            }
        }
        self.running.len() + prefill
    }

    /// Ends a sequence and hands its KV cache out.
    pub fn export(&mut self, attempt: &str) -> Option<ExportResponse> {
        let index = self.running.iter().position(|sequence| sequence.attempt == attempt)?;
        let sequence = &self.running[index];
        let kv_handle = format!("{}/{attempt}", self.engine);
        let tokens = sequence.position;
        // The ledger notes the sequence when its reader closes the stream.
        Some(ExportResponse { kv_handle, tokens })
    }

    /// Breaks every sequence off.
    pub fn abort_all(&mut self, runs: &mut Vec<Run>) {
        for sequence in self.running.drain(..).chain(self.waiting.drain(..)) {
            sequence.sender.try_abort("the weights were torn");
            runs.push(sequence.note(false));
        }
    }

    fn admit(&mut self, runs: &mut Vec<Run>) -> usize {
        self.waiting.sort_by_key(|sequence| sequence.priority);
        let mut work = 0;
        while self.running.len() < self.max_running && !self.waiting.is_empty() {
            let sequence = self.waiting.remove(0);
            if sequence.sender.is_client_gone() {
                runs.push(sequence.note(false));
                continue;
            }
            if !self.cache.touch(&sequence.prompt) && !sequence.has_kv {
                work += PREFILL_WORK;
            }
            self.running.push(sequence);
        }
        work
    }
}

fn advance(
    sequence: &mut Sequence,
    version: u64,
    engine: &str,
    incarnation: Incarnation,
) -> Advance {
    if sequence.sender.is_client_gone() {
        return Advance::Cancelled;
    }
    let has_token = sequence.position < sequence.end;
    let is_last = sequence.position + 1 >= sequence.end;
    let mut text = String::new();
    if has_token {
        let Sequence { digest, seed, position, .. } = sequence;
        push_token(&mut text, *digest, *seed, version, *position);
    }
    let chunk = GenerateChunk {
        id: sequence.attempt.clone(),
        choices: [ChunkChoice { text, finish_reason: is_last.then_some(sequence.finish_reason) }],
        stamp: ChunkStamp {
            version,
            offset: sequence.position,
            tokens: u32::from(has_token),
            engine: engine.to_owned(),
            incarnation,
        },
    };
    let mut event = b"data: ".to_vec();
    event.extend(serde_json::to_vec(&chunk).expect("a chunk can be serialised"));
    event.extend(b"\n\n");
    if is_last {
        event.extend(STREAM_END);
    }
    match sequence.sender.try_send(event) {
        SendState::Sent => {
            sequence.position += u32::from(has_token);
            if is_last {
                Advance::Finished
            } else {
                Advance::Continue
            }
        }
        SendState::Full => Advance::Continue,
        SendState::ClientGone => Advance::Cancelled,
    }
}

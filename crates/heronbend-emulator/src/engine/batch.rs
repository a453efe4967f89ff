//! Continuous batching: each iteration generates one token for every running sequence.

use heronbend::external::engine::{
    ChunkChoice, ChunkStamp, ExportResponse, GenerateChunk, GenerateRequest,
};
use heronbend::identity::Incarnation;
use heronbend::rollout::FinishReason;
use heronbend_http::stream_body::{BodySender, TrySendResult};

use super::prefix_cache::PrefixCache;
use crate::ledger::Run;
use crate::model_text::{prompt_digest, push_token, unlimited_length};

/// Cost of prefilling an uncached prompt, as a number of sequences in one iteration.
const PREFILL_COST: usize = 8;
const STREAM_END: &[u8] = b"data: [DONE]\n\n";

/// A generation in progress.
pub struct Sequence {
    attempt: String,
    caller_request: String,
    prompt: String,
    digest: u64,
    seed: u64,
    priority: i32,
    start: u32,
    position: u32,
    end: u32,
    finish_reason: FinishReason,
    has_kv_cache: bool,
    sender: BodySender,
}

impl Sequence {
    /// Creates a generation that streams its chunks to `sender`.
    pub fn new(
        attempt: &str,
        caller_request: &str,
        request: &GenerateRequest,
        sender: BodySender,
    ) -> Self {
        let digest = prompt_digest(&request.prompt);
        let full_length = unlimited_length(digest, request.seed);
        let resumed = request.resume.as_ref();
        let start = resumed.map_or(0, |resume| resume.tokens);
        Self {
            attempt: attempt.to_owned(),
            caller_request: caller_request.to_owned(),
            prompt: request.prompt.clone(),
            digest,
            seed: request.seed,
            priority: request.priority,
            start,
            position: start,
            end: full_length.min(request.max_tokens).max(start),
            finish_reason: if full_length <= request.max_tokens {
                FinishReason::Stop
            } else {
                FinishReason::Length
            },
            has_kv_cache: resumed.is_some_and(|resume| resume.kv_handle.is_some()),
            sender,
        }
    }

    fn to_run(&self, finished: bool) -> Run {
        Run {
            attempt: self.attempt.clone(),
            caller_request: self.caller_request.clone(),
            tokens: self.position - self.start,
            finished,
        }
    }
}

enum Advance {
    Continue,
    Finished,
    Cancelled,
}

/// Running and waiting sequences of an engine.
pub struct Batch {
    engine: String,
    incarnation: Incarnation,
    max_running: usize,
    running: Vec<Sequence>,
    waiting: Vec<Sequence>,
    /// Prefix cache of the engine.
    pub cache: PrefixCache,
}

impl Batch {
    /// Creates an empty batch with at most `max_running` running sequences.
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

    /// Number of running sequences.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of sequences that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a waiting sequence.
    pub fn enqueue(&mut self, sequence: Sequence) {
        self.waiting.push(sequence);
    }

    /// Generates one token per running sequence with `version` and appends ended generations to `runs`.
    ///
    /// Returns the cost of the iteration, in sequences.
    pub fn iterate(&mut self, version: u64, runs: &mut Vec<Run>) -> usize {
        let prefill = self.admit(runs);
        let mut index = 0;
        while index < self.running.len() {
            let advance =
                advance(&mut self.running[index], version, &self.engine, self.incarnation);
            match advance {
                Advance::Continue => index += 1,
                Advance::Finished => runs.push(self.running.swap_remove(index).to_run(true)),
                Advance::Cancelled => runs.push(self.running.swap_remove(index).to_run(false)),
            }
        }
        self.running.len() + prefill
    }

    /// Returns a handle to the KV cache of a running sequence, or `None` if there is none for `attempt`.
    pub fn export(&mut self, attempt: &str) -> Option<ExportResponse> {
        let index = self.running.iter().position(|sequence| sequence.attempt == attempt)?;
        let sequence = &self.running[index];
        let kv_handle = format!("{}/{attempt}", self.engine);
        let tokens = sequence.position;
        // The sequence is recorded in the ledger once the reader closes the stream.
        Some(ExportResponse { kv_handle, tokens })
    }

    /// Aborts all sequences and appends them to `runs`.
    pub fn abort_all(&mut self, runs: &mut Vec<Run>) {
        for sequence in self.running.drain(..).chain(self.waiting.drain(..)) {
            sequence.sender.try_abort("the weight load failed");
            runs.push(sequence.to_run(false));
        }
    }

    fn admit(&mut self, runs: &mut Vec<Run>) -> usize {
        self.waiting.sort_by_key(|sequence| sequence.priority);
        let mut work = 0;
        while self.running.len() < self.max_running && !self.waiting.is_empty() {
            let sequence = self.waiting.remove(0);
            if sequence.sender.is_client_disconnected() {
                runs.push(sequence.to_run(false));
                continue;
            }
            if !self.cache.touch(&sequence.prompt) && !sequence.has_kv_cache {
                work += PREFILL_COST;
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
    if sequence.sender.is_client_disconnected() {
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
        TrySendResult::Sent => {
            sequence.position += u32::from(has_token);
            if is_last {
                Advance::Finished
            } else {
                Advance::Continue
            }
        }
        TrySendResult::Full => Advance::Continue,
        TrySendResult::ClientDisconnected => Advance::Cancelled,
    }
}

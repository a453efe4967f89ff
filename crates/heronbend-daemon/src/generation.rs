//! Text generation on one or more engines.
//!
//! Output is always read as a stream. Each chunk's attempt id and token offset are checked, and the
//! weight version that generated each token is recorded. If an engine fails mid-stream, another one
//! resumes after the last received token; the segments record which engine generated which tokens.

use std::pin::pin;
use std::time::{Duration, Instant};

use futures_lite::future::poll_once;
use futures_lite::{AsyncBufReadExt, FutureExt};
use heronbend::external::engine::{GenerateChunk, GenerateRequest, Resume};
use heronbend::lifecycle::BackendName;
use heronbend::quarantine::fingerprint::FingerprintInput;
use heronbend::quarantine::Fingerprint;
use heronbend::rollout::sample::append_segment;
use heronbend::rollout::{FinishReason, Segment};
use heronbend::routing::RequestOutcome;
use heronbend::settings::policy::PoolPolicy;
use heronbend_http::http_types::{Method, Request, Url};
use heronbend_http::ClientResponse;
use smol::Timer;
use thiserror::Error;

use crate::dispatch::{AttemptFailure, DispatchError, Dispatcher};

/// Maximum time between two chunks of an engine's stream.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(10);
/// Length of the prompt prefix that is hashed for prefix affinity, in bytes.
const PREFIX_BYTES: usize = 64;
const DATA_PREFIX: &str = "data: ";
const STREAM_END: &str = "[DONE]";

/// Parameters of a generation.
#[derive(Debug, Clone)]
pub struct GenerationRequest {
    /// Model name.
    pub model: String,
    /// Prompt text.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Sampling seed.
    pub seed: u64,
    /// Scheduling priority at the engine; lower values run first.
    pub priority: i32,
    /// Oldest acceptable weight version.
    pub min_version: Option<u64>,
    /// Caller name and the caller's request id.
    pub caller_request: String,
    /// Whether the request belongs to an accepted step, so that it has to run in the end. Crashes of
    /// backends are not held against it.
    pub is_owed: bool,
}

impl GenerationRequest {
    /// The fingerprint that crashes are held against, if any.
    fn blamed(&self) -> Option<Fingerprint> {
        (!self.is_owed).then(|| self.fingerprint())
    }

    /// Returns the fingerprint that identifies repetitions of this request; the seed is ignored.
    fn fingerprint(&self) -> Fingerprint {
        Fingerprint::of(&FingerprintInput {
            method: "POST",
            host: "",
            target: &self.model,
            tenant: None,
            body: self.prompt.as_bytes(),
        })
    }
}

/// A chunk of generated text.
#[derive(Debug, Clone)]
pub struct Chunk {
    /// Text of this chunk.
    pub text: String,
    /// Engine, weight version and token range of this chunk.
    pub segment: Segment,
    /// Set on the last chunk.
    pub finish_reason: Option<FinishReason>,
}

/// The complete output of a generation.
#[derive(Debug, Clone)]
pub struct GenerationOutput {
    /// Generated text.
    pub text: String,
    /// Engines and weight versions that generated the text, by token range.
    pub segments: Vec<Segment>,
    /// Why the generation ended.
    pub finish_reason: FinishReason,
}

/// Errors of a generation.
#[derive(Debug, Error)]
pub enum GenerationError {
    /// No engine could start or resume the generation.
    #[error(transparent)]
    Dispatch(#[from] DispatchError),
    /// The client disconnected; the engine's stream is cancelled.
    #[error("the client is gone")]
    ClientGone,
}

/// Default of [`ChunkSink::batch_interval`], for output that no client reads as it arrives.
const DEFAULT_BATCH_INTERVAL: Duration = Duration::from_millis(50);

/// Receives the chunks of a generation.
pub trait ChunkSink {
    /// Minimum time between two reads from the engine; tokens that arrive meanwhile are read
    /// together.
    fn batch_interval(&self) -> Duration {
        DEFAULT_BATCH_INTERVAL
    }

    /// Accepts a chunk; an error cancels the generation.
    fn take(
        &mut self,
        chunk: &Chunk,
    ) -> impl std::future::Future<Output = Result<(), GenerationError>>;
}

/// Discards all chunks, for callers that only use the complete output.
pub struct NullSink;

impl ChunkSink for NullSink {
    async fn take(&mut self, _: &Chunk) -> Result<(), GenerationError> {
        Ok(())
    }
}

/// Output received so far.
struct PartialOutput {
    text: String,
    segments: Vec<Segment>,
}

impl PartialOutput {
    fn tokens(&self) -> u32 {
        self.segments.last().map_or(0, |segment| segment.end)
    }
}

/// How an engine's stream ended.
enum StreamOutcome {
    Finished(FinishReason),
    Interrupted(String),
}

/// Generates text, resuming on another engine after a failure.
pub async fn generate(
    dispatcher: &Dispatcher,
    pool: &PoolPolicy,
    request: &GenerationRequest,
    sink: &mut impl ChunkSink,
) -> Result<GenerationOutput, GenerationError> {
    dispatcher.record_new_request();
    let prefix = prompt_prefix(&request.prompt);
    let deadline = Instant::now() + pool.request_timeout;
    let mut output = PartialOutput { text: String::new(), segments: Vec::new() };
    let mut tried: Vec<BackendName> = Vec::new();
    let mut failure = None;
    for attempt_number in 1..=pool.max_attempts {
        if attempt_number > 1 && !dispatcher.prepare_retry(attempt_number - 1).await {
            break;
        }
        let mut admitted = match dispatcher.admit(request.is_owed, || request.fingerprint()) {
            Ok(admitted) => admitted,
            Err(error) => return Err(failure.unwrap_or(error).into()),
        };
        let choice =
            dispatcher.select_backend(pool, Some(prefix), request.min_version, &tried).await;
        let selected = match choice {
            Ok(selected) => selected,
            Err(error) => return Err(failure.unwrap_or(error).into()),
        };
        tried.push(selected.backend.name.clone());
        let outgoing = engine_request(&selected.backend.address.to_string(), request, &output);
        let remaining = deadline.saturating_duration_since(Instant::now());
        admitted.note_start();
        let attempt = dispatcher
            .attempt(&selected.backend, outgoing, &request.caller_request, remaining)
            .await;
        let (reply, attempt) = match attempt {
            Ok(started) => started,
            Err(AttemptFailure::NotRun(message)) => {
                admitted.note_not_run();
                selected.finish(RequestOutcome::Failed);
                failure = Some(failure.unwrap_or(DispatchError::NotRun(message)));
                continue;
            }
            Err(broken @ (AttemptFailure::ConnectionBroken(_) | AttemptFailure::Unknown(_))) => {
                let backend = selected.backend.clone();
                selected.finish(RequestOutcome::Failed);
                let message = dispatcher.record_failure(broken, request.blamed(), &backend);
                failure = Some(DispatchError::Unknown(message));
                continue;
            }
        };
        if !output.segments.is_empty() {
            dispatcher.shared().metrics.resumed.inc();
        }
        let outcome = read_stream(dispatcher, reply, &attempt, deadline, &mut output, sink).await?;
        match outcome {
            StreamOutcome::Finished(finish_reason) => {
                dispatcher.note_response(|| request.fingerprint());
                selected.finish(RequestOutcome::Answered);
                return Ok(GenerationOutput {
                    text: output.text,
                    segments: output.segments,
                    finish_reason,
                });
            }
            StreamOutcome::Interrupted(message) => {
                let backend = selected.backend.clone();
                selected.finish(RequestOutcome::Failed);
                if output.segments.is_empty() {
                    let broken = AttemptFailure::ConnectionBroken(message.clone());
                    dispatcher.record_failure(broken, request.blamed(), &backend);
                }
                failure = Some(DispatchError::Unknown(message));
            }
        }
    }
    let failure = failure.unwrap_or_else(|| DispatchError::NoBackend(pool.name.clone()));
    Err(failure.into())
}

fn engine_request(address: &str, request: &GenerationRequest, output: &PartialOutput) -> Request {
    let resume = (!output.segments.is_empty()).then(|| Resume {
        tokens: output.tokens(),
        text: output.text.clone(),
        kv_handle: None,
    });
    let body = GenerateRequest {
        model: request.model.clone(),
        prompt: request.prompt.clone(),
        max_tokens: request.max_tokens,
        seed: request.seed,
        stream: true,
        priority: request.priority,
        resume,
    };
    let url = Url::parse(&format!("http://{address}/v1/completions"))
        .expect("a socket address makes a valid URL");
    let mut outgoing = Request::new(Method::Post, url);
    outgoing.set_body(serde_json::to_vec(&body).expect("a plain data type can be serialised"));
    outgoing.insert_header("content-type", "application/json");
    outgoing
}

/// Reads an engine's stream until it ends, fails or sends an invalid chunk.
async fn read_stream(
    dispatcher: &Dispatcher,
    mut reply: ClientResponse,
    attempt: &str,
    deadline: Instant,
    output: &mut PartialOutput,
    sink: &mut impl ChunkSink,
) -> Result<StreamOutcome, GenerationError> {
    if !reply.status().is_success() {
        return Ok(StreamOutcome::Interrupted(format!("the engine answered {}", reply.status())));
    }
    let mut line = String::new();
    let mut finished = None;
    let mut next_read = Instant::now();
    loop {
        line.clear();
        let read = async {
            let mut pending_read = pin!(reply.body_mut().read_line(&mut line));
            if let Some(read) = poll_once(pending_read.as_mut()).await {
                return Some(read);
            }
            // No data is buffered: wait until the next read is due, so that tokens are read in
            // batches.
            Timer::at(next_read).await;
            let read = pending_read.await;
            next_read = Instant::now() + sink.batch_interval();
            Some(read)
        };
        let chunk_deadline = deadline.min(Instant::now() + CHUNK_TIMEOUT);
        let read = read.or(async {
            Timer::at(chunk_deadline).await;
            None
        });
        match read.await {
            None => return Ok(StreamOutcome::Interrupted("the engine fell silent".to_owned())),
            Some(Err(error)) => return Ok(StreamOutcome::Interrupted(error.to_string())),
            Some(Ok(0)) => break,
            Some(Ok(_)) => {}
        }
        let Some(data) = line.trim_end().strip_prefix(DATA_PREFIX) else {
            continue;
        };
        if data == STREAM_END {
            continue;
        }
        let chunk = match accept_chunk(data, attempt, output) {
            Ok(chunk) => chunk,
            Err(message) => {
                dispatcher.shared().metrics.foreign_answers.inc();
                return Ok(StreamOutcome::Interrupted(message));
            }
        };
        finished = chunk.finish_reason;
        dispatcher.shared().metrics.tokens.inc();
        sink.take(&chunk).await?;
    }
    match finished {
        Some(reason) => {
            reply.return_to_pool();
            Ok(StreamOutcome::Finished(reason))
        }
        None => Ok(StreamOutcome::Interrupted("the engine's stream ended early".to_owned())),
    }
}

/// Validates a chunk's attempt id and offset, and appends it to the output.
fn accept_chunk(data: &str, attempt: &str, output: &mut PartialOutput) -> Result<Chunk, String> {
    let chunk: GenerateChunk = serde_json::from_str(data).map_err(|error| error.to_string())?;
    if chunk.id != attempt {
        return Err("a chunk belongs to another attempt".to_owned());
    }
    let stamp = chunk.stamp;
    let segment = Segment {
        version: stamp.version,
        start: stamp.offset,
        end: stamp.offset + stamp.tokens,
        engine: BackendName(stamp.engine),
        incarnation: stamp.incarnation,
    };
    let [choice] = chunk.choices;
    if !append_segment(&mut output.segments, segment.clone()) {
        return Err("a chunk does not follow on".to_owned());
    }
    output.text += &choice.text;
    Ok(Chunk { text: choice.text, segment, finish_reason: choice.finish_reason })
}

fn prompt_prefix(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    rapidhash::v3::rapidhash_v3(&bytes[..bytes.len().min(PREFIX_BYTES)])
}

//! Generation: one text from one or more engines.
//!
//! The daemon always reads a stream, checks every chunk's identifier and position, and knows at each
//! token which version drew it. When an engine is lost mid-text, another goes on from the last
//! token, and the segments say so.

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
use heronbend::routing::Verdict;
use heronbend::settings::policy::PoolPolicy;
use heronbend_http::http_types::{Method, Request, Url};
use heronbend_http::Reply;
use smol::Timer;
use thiserror::Error;

use crate::dispatch::{AttemptFailure, DispatchError, Dispatcher};

/// Longest silence of an engine within a stream.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes of a prompt that decide which engine is preferred.
const PREFIX_BYTES: usize = 64;
const DATA_PREFIX: &str = "data: ";
const STREAM_END: &str = "[DONE]";

/// What is to be generated.
#[derive(Debug, Clone)]
pub struct GenerationRequest {
    /// The model.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Most tokens.
    pub max_tokens: u32,
    /// Seed of the sampling.
    pub seed: u64,
    /// Lower runs first.
    pub priority: i32,
    /// Oldest weight version that will do.
    pub min_version: Option<u64>,
    /// The caller and its identifier of the request.
    pub caller_request: String,
}

impl GenerationRequest {
    /// What tells that the request has come before, whatever its seed.
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

/// A piece of the text, as it comes.
#[derive(Debug, Clone)]
pub struct Piece {
    /// New text.
    pub text: String,
    /// What drew it.
    pub segment: Segment,
    /// Set on the last piece.
    pub finish_reason: Option<FinishReason>,
}

/// A whole text.
#[derive(Debug, Clone)]
pub struct Generated {
    /// The text.
    pub text: String,
    /// What drew it.
    pub segments: Vec<Segment>,
    /// Why it ended.
    pub finish_reason: FinishReason,
}

/// Why there is no whole text.
#[derive(Debug, Error)]
pub enum GenerationError {
    /// No engine could begin or go on.
    #[error(transparent)]
    Dispatch(#[from] DispatchError),
    /// The reader of the pieces has gone; the engine's stream is cancelled.
    #[error("the client is gone")]
    ClientGone,
}

/// How long tokens may gather before they are read, where nobody watches them come.
const UNWATCHED_PACE: Duration = Duration::from_millis(50);

/// Where pieces go.
pub trait PieceSink {
    /// How long tokens may gather before they are read together, after the first.
    fn pace(&self) -> Duration {
        UNWATCHED_PACE
    }

    /// Takes a piece; an error cancels the generation.
    fn take(
        &mut self,
        piece: &Piece,
    ) -> impl std::future::Future<Output = Result<(), GenerationError>>;
}

/// Keeps no pieces: for whole answers.
pub struct NoSink;

impl PieceSink for NoSink {
    async fn take(&mut self, _: &Piece) -> Result<(), GenerationError> {
        Ok(())
    }
}

/// A text in the making.
struct Progress {
    text: String,
    segments: Vec<Segment>,
}

impl Progress {
    fn tokens(&self) -> u32 {
        self.segments.last().map_or(0, |segment| segment.end)
    }
}

/// How one engine's stream ended.
enum StreamEnd {
    Finished(FinishReason),
    Broken(String),
}

/// Generates a text.
pub async fn generate(
    dispatcher: &Dispatcher,
    pool: &PoolPolicy,
    request: &GenerationRequest,
    sink: &mut impl PieceSink,
) -> Result<Generated, GenerationError> {
    dispatcher.note_fresh();
    let prefix = prompt_prefix(&request.prompt);
    let deadline = Instant::now() + pool.request_timeout;
    let mut progress = Progress { text: String::new(), segments: Vec::new() };
    let mut tried: Vec<BackendName> = Vec::new();
    let mut failure = None;
    for number in 1..=pool.max_attempts {
        if number > 1 && !dispatcher.may_retry(number - 1).await {
            break;
        }
        if let Err(refusal) = dispatcher.admit(|| request.fingerprint()) {
            return Err(failure.unwrap_or(refusal).into());
        }
        let choice = dispatcher.choose(pool, Some(prefix), request.min_version, &tried).await;
        let chosen = match choice {
            Ok(chosen) => chosen,
            Err(refusal) => return Err(failure.unwrap_or(refusal).into()),
        };
        tried.push(chosen.backend.name.clone());
        let outgoing = engine_request(&chosen.backend.address.to_string(), request, &progress);
        let left = deadline.saturating_duration_since(Instant::now());
        let attempt =
            dispatcher.attempt(&chosen.backend, outgoing, &request.caller_request, left).await;
        let (reply, attempt) = match attempt {
            Ok(begun) => begun,
            Err(AttemptFailure::NotRun(message)) => {
                chosen.conclude(Verdict::Failed);
                failure = Some(failure.unwrap_or(DispatchError::NotRun(message)));
                continue;
            }
            Err(broken @ (AttemptFailure::BrokenOff(_) | AttemptFailure::Unknown(_))) => {
                let backend = chosen.backend.clone();
                chosen.conclude(Verdict::Failed);
                let request = request.fingerprint();
                let message = dispatcher.note_failure(broken, request, &backend).await;
                failure = Some(DispatchError::Unknown(message));
                continue;
            }
        };
        if !progress.segments.is_empty() {
            dispatcher.shared().metrics.resumed.inc();
        }
        let end = read_stream(dispatcher, reply, &attempt, deadline, &mut progress, sink).await?;
        match end {
            StreamEnd::Finished(finish_reason) => {
                dispatcher.note_answer(|| request.fingerprint());
                chosen.conclude(Verdict::Answered);
                return Ok(Generated {
                    text: progress.text,
                    segments: progress.segments,
                    finish_reason,
                });
            }
            StreamEnd::Broken(message) => {
                let backend = chosen.backend.clone();
                chosen.conclude(Verdict::Failed);
                if progress.segments.is_empty() {
                    let broken = AttemptFailure::BrokenOff(message.clone());
                    dispatcher.note_failure(broken, request.fingerprint(), &backend).await;
                }
                failure = Some(DispatchError::Unknown(message));
            }
        }
    }
    let failure = failure.unwrap_or_else(|| DispatchError::NoBackend(pool.name.clone()));
    Err(failure.into())
}

fn engine_request(address: &str, request: &GenerationRequest, progress: &Progress) -> Request {
    let resume = (!progress.segments.is_empty()).then(|| Resume {
        tokens: progress.tokens(),
        text: progress.text.clone(),
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

/// Reads one engine's stream to its end, or to the first thing that is not as it should be.
async fn read_stream(
    dispatcher: &Dispatcher,
    mut reply: Reply,
    attempt: &str,
    deadline: Instant,
    progress: &mut Progress,
    sink: &mut impl PieceSink,
) -> Result<StreamEnd, GenerationError> {
    if !reply.status().is_success() {
        return Ok(StreamEnd::Broken(format!("the engine answered {}", reply.status())));
    }
    let mut line = String::new();
    let mut finished = None;
    let mut next_look = Instant::now();
    loop {
        line.clear();
        let read = async {
            let mut reading = pin!(reply.body_mut().read_line(&mut line));
            if let Some(read) = poll_once(reading.as_mut()).await {
                return Some(read);
            }
            // Nothing is buffered. Tokens that come meanwhile are read at once, later.
            Timer::at(next_look).await;
            let read = reading.await;
            next_look = Instant::now() + sink.pace();
            Some(read)
        };
        let limit = deadline.min(Instant::now() + CHUNK_TIMEOUT);
        let read = read.or(async {
            Timer::at(limit).await;
            None
        });
        match read.await {
            None => return Ok(StreamEnd::Broken("the engine fell silent".to_owned())),
            Some(Err(error)) => return Ok(StreamEnd::Broken(error.to_string())),
            Some(Ok(0)) => break,
            Some(Ok(_)) => {}
        }
        let Some(data) = line.trim_end().strip_prefix(DATA_PREFIX) else {
            continue;
        };
        if data == STREAM_END {
            continue;
        }
        let piece = match accept_chunk(data, attempt, progress) {
            Ok(piece) => piece,
            Err(message) => {
                dispatcher.shared().metrics.foreign_answers.inc();
                return Ok(StreamEnd::Broken(message));
            }
        };
        finished = piece.finish_reason;
        dispatcher.shared().metrics.tokens.inc();
        sink.take(&piece).await?;
    }
    match finished {
        Some(reason) => {
            reply.finish();
            Ok(StreamEnd::Finished(reason))
        }
        None => Ok(StreamEnd::Broken("the engine's stream ended early".to_owned())),
    }
}

/// Checks that a chunk belongs to the attempt and follows on, and adds it to the text.
fn accept_chunk(data: &str, attempt: &str, progress: &mut Progress) -> Result<Piece, String> {
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
    if !append_segment(&mut progress.segments, segment.clone()) {
        return Err("a chunk does not follow on".to_owned());
    }
    progress.text += &choice.text;
    Ok(Piece { text: choice.text, segment, finish_reason: choice.finish_reason })
}

fn prompt_prefix(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    rapidhash::v3::rapidhash_v3(&bytes[..bytes.len().min(PREFIX_BYTES)])
}

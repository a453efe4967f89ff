//! Text and chat completion endpoints in the common inference API format, full or streamed.
//!
//! In addition to the usual fields, responses contain the segments: which engine and weight version
//! generated which tokens.

use std::rc::Rc;
use std::time::Duration;

use heronbend::admission::CallerPermit;
use heronbend::rollout::{FinishReason, Segment};
use heronbend::settings::policy::{ModelPolicy, PoolPolicy};
use heronbend_http::http_types::{Response, StatusCode};
use heronbend_http::{json_response, read_body, stream_body, BodySender, ErrorBody, Outcome};
use serde::{Deserialize, Serialize};

use smol::channel::Sender;

use super::rejection::{reject, Rejection};
use super::{AdmittedRequest, Front};
use crate::dispatch::DispatchError;
use crate::generation::{generate, Chunk, ChunkSink, GenerationError, GenerationRequest, NullSink};

/// Body of a completion request; unknown fields are ignored.
#[derive(Debug, Deserialize)]
struct CompletionRequest {
    model: String,
    prompt: Option<String>,
    messages: Option<Vec<Message>>,
    max_tokens: Option<u64>,
    seed: Option<u64>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    priority: i32,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    content: String,
}

#[derive(Serialize)]
struct Completion<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: [CompletionChoice<'a>; 1],
    usage: Usage,
    segments: &'a [Segment],
    seed: u64,
}

#[derive(Serialize)]
struct CompletionChoice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<ResponseMessage<'a>>,
    finish_reason: FinishReason,
}

#[derive(Serialize)]
struct ResponseMessage<'a> {
    role: &'static str,
    content: &'a str,
}

#[derive(Serialize)]
struct Usage {
    completion_tokens: u32,
}

#[derive(Serialize)]
struct Event<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: [EventChoice<'a>; 1],
    segment: &'a Segment,
    seed: u64,
}

#[derive(Serialize)]
struct EventChoice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Delta<'a>>,
    finish_reason: Option<FinishReason>,
}

#[derive(Serialize)]
struct Delta<'a> {
    content: &'a str,
}

impl Front {
    pub(super) async fn complete(
        self: Rc<Self>,
        mut admitted: AdmittedRequest,
        chat: bool,
        permit: CallerPermit,
    ) -> Result<Response, Rejection> {
        let settings = admitted.settings.clone();
        let policy = &settings.policy;
        let body = read_body(&mut admitted.request, policy.max_body, policy.body_timeout)
            .await
            .map_err(|error| error.response())?;
        let request: CompletionRequest = serde_json::from_slice(&body)
            .map_err(|error| bad_request("invalid_json", &error.to_string()))?;
        let model = policy.models.get(&request.model).ok_or_else(|| {
            let message = format!("there is no model {:?}", request.model);
            reject(StatusCode::NotFound, "unknown_model", &message, Outcome::NotRun)
        })?;
        check_caller(model, &admitted.caller.name)?;
        let generation = self.generation_request(&admitted, &request, model, chat)?;
        let pool = policy.pools[&model.pool].clone();
        if request.stream {
            self.stream(pool, generation, chat, permit).await
        } else {
            self.complete_full(&pool, &generation, chat).await
        }
    }

    fn generation_request(
        &self,
        admitted: &AdmittedRequest,
        request: &CompletionRequest,
        model: &ModelPolicy,
        chat: bool,
    ) -> Result<GenerationRequest, Rejection> {
        let prompt = match (&request.prompt, &request.messages) {
            (Some(prompt), None) if !chat => prompt.clone(),
            (None, Some(messages)) if chat && !messages.is_empty() => messages
                .iter()
                .map(|message| format!("{}: {}\n", message.role, message.content))
                .collect(),
            _ if chat => return Err(bad_request("no_messages", "messages must not be empty")),
            _ => return Err(bad_request("no_prompt", "a prompt of one text is needed")),
        };
        let wanted = request.max_tokens.unwrap_or(model.max_tokens);
        if wanted == 0 || wanted > model.max_tokens {
            let message = format!("max_tokens must be from 1 to {}", model.max_tokens);
            return Err(bad_request("bad_max_tokens", &message));
        }
        Ok(GenerationRequest {
            model: model.name.clone(),
            prompt,
            max_tokens: u32::try_from(wanted).unwrap_or(u32::MAX),
            seed: request.seed.unwrap_or_else(|| self.shared.unique_number()),
            priority: request.priority,
            min_version: None,
            caller_request: admitted.caller_request(),
            is_owed: false,
        })
    }

    async fn complete_full(
        &self,
        pool: &PoolPolicy,
        request: &GenerationRequest,
        chat: bool,
    ) -> Result<Response, Rejection> {
        let generated = match generate(&self.dispatcher, pool, request, &mut NullSink).await {
            Ok(generated) => generated,
            Err(GenerationError::Dispatch(error)) => return Err(error.into()),
            Err(GenerationError::ClientGone) => unreachable!("there is no client to go"),
        };
        let text = generated.text.as_str();
        let message = ResponseMessage { role: "assistant", content: text };
        let completion = Completion {
            id: &request.caller_request,
            object: if chat { "chat.completion" } else { "text_completion" },
            model: &request.model,
            choices: [CompletionChoice {
                index: 0,
                text: (!chat).then_some(text),
                message: chat.then_some(message),
                finish_reason: generated.finish_reason,
            }],
            usage: Usage {
                completion_tokens: generated.segments.last().map_or(0, |last| last.end),
            },
            segments: &generated.segments,
            seed: request.seed,
        };
        Ok(json_response(StatusCode::Ok, &completion))
    }

    /// Responds with a stream fed by a background task.
    ///
    /// The response starts with the first chunk, so an earlier failure still returns an error
    /// status.
    async fn stream(
        self: Rc<Self>,
        pool: PoolPolicy,
        request: GenerationRequest,
        chat: bool,
        permit: CallerPermit,
    ) -> Result<Response, Rejection> {
        let (sender, body) = stream_body();
        let (start_error, started) = smol::channel::bounded::<DispatchError>(1);
        let front = self.clone();
        self.executor
            .spawn(async move {
                let mut sink = EventSink {
                    sender: sender.clone(),
                    start_error: Some(start_error.clone()),
                    request: request.clone(),
                    chat,
                };
                let result = generate(&front.dispatcher, &pool, &request, &mut sink).await;
                match result {
                    Ok(_) => drop(sender.send(b"data: [DONE]\n\n".to_vec()).await),
                    Err(GenerationError::ClientGone) => {}
                    Err(GenerationError::Dispatch(error)) if sink.start_error.is_some() => {
                        let _ = start_error.try_send(error);
                    }
                    Err(GenerationError::Dispatch(error)) => {
                        let outcome = error.outcome();
                        send_error_event(&sender, Rejection::from(error).into(), outcome).await;
                    }
                }
                drop(permit);
            })
            .detach();
        if let Ok(error) = started.recv().await {
            return Err(error.into());
        }
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(body);
        response.insert_header("content-type", "text/event-stream");
        Ok(response)
    }
}

/// Reports an error after the response head was sent: as an event, followed by an aborted stream.
async fn send_error_event(sender: &BodySender, mut rejection: Response, outcome: Outcome) {
    let body = rejection.body_string().await.unwrap_or_default();
    debug_assert!(serde_json::from_str::<ErrorBody>(&body).is_ok());
    let event = format!("data: {body}\n\n");
    let _ = sender.send(event.into_bytes()).await;
    sender.abort(outcome.as_str()).await;
}

/// Minimum time between two events of a streamed response.
const STREAM_BATCH_INTERVAL: Duration = Duration::from_millis(40);

/// Sends chunks as server-sent events.
struct EventSink {
    sender: BodySender,
    /// Reports a failure before the first chunk; closed and cleared by the first chunk.
    start_error: Option<Sender<DispatchError>>,
    request: GenerationRequest,
    chat: bool,
}

impl ChunkSink for EventSink {
    fn batch_interval(&self) -> Duration {
        STREAM_BATCH_INTERVAL
    }

    async fn take(&mut self, chunk: &Chunk) -> Result<(), GenerationError> {
        let text = chunk.text.as_str();
        let event = Event {
            id: &self.request.caller_request,
            object: if self.chat { "chat.completion.chunk" } else { "text_completion" },
            model: &self.request.model,
            choices: [EventChoice {
                index: 0,
                text: (!self.chat).then_some(text),
                delta: self.chat.then_some(Delta { content: text }),
                finish_reason: chunk.finish_reason,
            }],
            segment: &chunk.segment,
            seed: self.request.seed,
        };
        let mut part = b"data: ".to_vec();
        serde_json::to_writer(&mut part, &event).expect("a plain data type can be serialised");
        part.extend(b"\n\n");
        if let Some(start_error) = self.start_error.take() {
            start_error.close();
        }
        self.sender.send(part).await.map_err(|_| GenerationError::ClientGone)
    }
}

fn check_caller(model: &ModelPolicy, caller: &str) -> Result<(), Rejection> {
    if model.callers.contains(caller) {
        return Ok(());
    }
    let message = format!("caller {caller} may not use model {}", model.name);
    Err(reject(StatusCode::Forbidden, "forbidden", &message, Outcome::NotRun))
}

fn bad_request(code: &str, message: &str) -> Rejection {
    reject(StatusCode::BadRequest, code, message, Outcome::NotRun)
}

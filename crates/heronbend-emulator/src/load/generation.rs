//! Generation requests and validation of the generated texts.

use std::net::SocketAddr;

use futures_lite::{AsyncBufReadExt, FutureExt, StreamExt};
use heronbend::rollout::sample::append_segment;
use heronbend::rollout::{FinishReason, Sample, Segment, SlotIndex};
use heronbend_http::http_types::{Method, Request, StatusCode};
use heronbend_http::{ClientError, ClientResponse, ErrorBody};
use serde::Deserialize;
use smol::Timer;

use super::request::{copy_request, record_failure, Sender, TIMEOUT};
use crate::registration::url;
use crate::trainer::is_valid_sample;

const TOKEN: &str = "municipality-token";
const CALLER: &str = "municipality";
const MAX_TOKENS: u32 = 256;

/// Body of a non-streamed completion.
#[derive(Deserialize)]
struct Completion {
    choices: [Choice; 1],
    segments: Vec<Segment>,
    seed: u64,
}

#[derive(Deserialize)]
struct Choice {
    text: String,
    finish_reason: Option<FinishReason>,
}

/// Event of a streamed completion.
#[derive(Deserialize)]
struct Event {
    choices: [EventChoice; 1],
    segment: Segment,
    seed: u64,
}

#[derive(Deserialize)]
struct EventChoice {
    #[serde(default)]
    text: String,
    delta: Option<Delta>,
    finish_reason: Option<FinishReason>,
}

#[derive(Deserialize)]
struct Delta {
    #[serde(default)]
    content: String,
}

impl Sender {
    /// Sends a non-streamed completion request and records the outcome.
    pub async fn complete(&self, identifier: &str, daemon: SocketAddr) {
        let prompt = format!("bulletin {identifier}");
        let body = serde_json::json!({
            "model": self.model, "prompt": prompt, "max_tokens": MAX_TOKENS,
        });
        let request = generation_request("/v1/completions", identifier, daemon);
        let response = self.fetch(daemon, &request, &body.to_string()).await;
        let mut observations = self.observations.borrow_mut();
        observations.requests += 1;
        match &response {
            Ok((status, bytes)) if status.is_success() => {
                let sample = serde_json::from_slice::<Completion>(bytes).ok().and_then(to_sample);
                if sample.is_some_and(|sample| is_valid_sample(&sample, &prompt, MAX_TOKENS)) {
                    observations.complete += 1;
                } else {
                    log::error!("event=wrong_completion request={identifier}");
                    observations.invalid += 1;
                }
            }
            _ => record_failure(&mut observations, CALLER, identifier, &response),
        }
    }

    /// Sends a streamed completion or chat completion request and records the outcome.
    pub async fn stream(&self, identifier: &str, daemon: SocketAddr, chat: bool) {
        let prompt = format!("bulletin {identifier}");
        let (path, body) = if chat {
            let body = serde_json::json!({
                "model": self.model, "max_tokens": MAX_TOKENS, "stream": true,
                "messages": [{ "role": "user", "content": prompt }],
            });
            ("/v1/chat/completions", body)
        } else {
            let body = serde_json::json!({
                "model": self.model, "max_tokens": MAX_TOKENS, "stream": true, "prompt": prompt,
            });
            ("/v1/completions", body)
        };
        let effective_prompt = if chat { format!("user: {prompt}\n") } else { prompt };
        let request = generation_request(path, identifier, daemon);
        let outcome = self.read_stream(daemon, &request, &body.to_string()).await;
        let mut observations = self.observations.borrow_mut();
        observations.requests += 1;
        match outcome {
            Ok(StreamResult::Sample(sample))
                if is_valid_sample(&sample, &effective_prompt, MAX_TOKENS) =>
            {
                observations.complete += 1;
            }
            Ok(StreamResult::Sample(_) | StreamResult::Invalid) => {
                log::error!("event=wrong_stream request={identifier}");
                observations.invalid += 1;
            }
            Ok(StreamResult::Rejected(status, bytes)) => {
                record_failure(&mut observations, CALLER, identifier, &Ok((status, bytes)));
            }
            Err(error) => record_failure(&mut observations, CALLER, identifier, &Err(error)),
        }
    }

    /// Sends a request, trying the next daemon while no connection can be opened.
    async fn open_stream(
        &self,
        daemon: SocketAddr,
        request: &Request,
        body: &str,
    ) -> Result<ClientResponse, ClientError> {
        let mut result = Err(ClientError::Timeout);
        for address in std::iter::once(&daemon).chain(&self.daemons) {
            let copy = copy_request(request, *address, body);
            result = self.client.send(*address, copy, TIMEOUT).await;
            if !matches!(&result, Err(error) if error.is_not_sent()) {
                break;
            }
        }
        result
    }

    async fn read_stream(
        &self,
        daemon: SocketAddr,
        request: &Request,
        body: &str,
    ) -> Result<StreamResult, ClientError> {
        let mut response = self.open_stream(daemon, request, body).await?;
        if !response.status().is_success() {
            let status = response.status();
            return Ok(StreamResult::Rejected(status, response.read_full(1 << 22).await?));
        }
        let read_events = async {
            let mut sample = empty_sample();
            let mut finished = false;
            let mut lines = response.body_mut().lines();
            while let Some(line) = lines.next().await {
                let line = line.map_err(ClientError::Exchange)?;
                let Some(data) = line.strip_prefix("data: ") else {
                    continue;
                };
                if data == "[DONE]" {
                    continue;
                }
                let Ok(event) = serde_json::from_str::<Event>(data) else {
                    return Ok(parse_error_event(data));
                };
                let [choice] = event.choices;
                sample.text += &choice.text;
                sample.text += choice.delta.as_ref().map_or("", |delta| &delta.content);
                sample.seed = event.seed;
                finished |= choice.finish_reason.is_some();
                if !append_segment(&mut sample.segments, event.segment) {
                    return Ok(StreamResult::Invalid);
                }
            }
            Ok(if finished { StreamResult::Sample(sample) } else { StreamResult::Invalid })
        };
        let result = read_events
            .or(async {
                Timer::after(TIMEOUT).await;
                Err(ClientError::Timeout)
            })
            .await?;
        response.return_to_pool();
        Ok(result)
    }
}

enum StreamResult {
    Sample(Sample),
    Invalid,
    Rejected(StatusCode, Vec<u8>),
}

/// Interprets an event that is not a chunk: a stream may end with an error event.
fn parse_error_event(data: &str) -> StreamResult {
    match serde_json::from_str::<ErrorBody>(data) {
        Ok(body) => {
            log::info!("event=stream_broken_off error={:?}", body.error);
            StreamResult::Rejected(StatusCode::BadGateway, data.as_bytes().to_vec())
        }
        Err(_) => StreamResult::Invalid,
    }
}

fn empty_sample() -> Sample {
    Sample {
        slot: SlotIndex(0),
        seed: 0,
        text: String::new(),
        segments: Vec::new(),
        finish_reason: FinishReason::Stop,
        reward_milli: 0,
    }
}

fn to_sample(completion: Completion) -> Option<Sample> {
    let [choice] = completion.choices;
    Some(Sample {
        seed: completion.seed,
        text: choice.text,
        segments: completion.segments,
        finish_reason: choice.finish_reason?,
        ..empty_sample()
    })
}

fn generation_request(path: &str, identifier: &str, daemon: SocketAddr) -> Request {
    let target = url(daemon, path).expect("a socket address makes a valid URL");
    let mut request = Request::new(Method::Post, target);
    request.insert_header("authorization", format!("Bearer {TOKEN}"));
    request.insert_header("x-request-id", identifier);
    request
}

//! Generation requests, and the check that a text is whole and true.

use std::net::SocketAddr;

use futures_lite::{AsyncBufReadExt, FutureExt, StreamExt};
use heronbend::rollout::sample::append_segment;
use heronbend::rollout::{FinishReason, Sample, Segment, SlotIndex};
use heronbend_http::http_types::{Method, Request, StatusCode};
use heronbend_http::{ClientError, ClientResponse, ErrorBody};
use serde::Deserialize;
use smol::Timer;

use super::request::{copy_of, note_failure, Sender, TIMEOUT};
use crate::registration::url;
use crate::trainer::is_genuine;

const TOKEN: &str = "municipality-token";
const CALLER: &str = "municipality";
const MAX_TOKENS: u32 = 256;

/// A whole completion.
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

/// One event of a streamed completion.
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
    /// A completion that is answered whole.
    pub async fn complete(&self, identifier: &str, daemon: SocketAddr) {
        let prompt = format!("bulletin {identifier}");
        let body = serde_json::json!({
            "model": self.model, "prompt": prompt, "max_tokens": MAX_TOKENS,
        });
        let request = generation("/v1/completions", identifier, daemon);
        let answer = self.fetch(daemon, &request, &body.to_string()).await;
        let mut seen = self.observations.borrow_mut();
        seen.requests += 1;
        match &answer {
            Ok((status, bytes)) if status.is_success() => {
                let sample = serde_json::from_slice::<Completion>(bytes).ok().and_then(to_sample);
                if sample.is_some_and(|sample| is_genuine(&sample, &prompt, MAX_TOKENS)) {
                    seen.whole += 1;
                } else {
                    log::error!("event=wrong_completion request={identifier}");
                    seen.wrong += 1;
                }
            }
            _ => note_failure(&mut seen, CALLER, identifier, &answer),
        }
    }

    /// A completion that is streamed.
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
        let drawn_from = if chat { format!("user: {prompt}\n") } else { prompt };
        let request = generation(path, identifier, daemon);
        let outcome = self.read_stream(daemon, &request, &body.to_string()).await;
        let mut seen = self.observations.borrow_mut();
        seen.requests += 1;
        match outcome {
            Ok(Streamed::Sample(sample)) if is_genuine(&sample, &drawn_from, MAX_TOKENS) => {
                seen.whole += 1;
            }
            Ok(Streamed::Sample(_) | Streamed::Unreadable) => {
                log::error!("event=wrong_stream request={identifier}");
                seen.wrong += 1;
            }
            Ok(Streamed::Refused(status, bytes)) => {
                note_failure(&mut seen, CALLER, identifier, &Ok((status, bytes)));
            }
            Err(error) => note_failure(&mut seen, CALLER, identifier, &Err(error)),
        }
    }

    /// Sends a request; one that found no connection goes to the next daemon.
    async fn begin(
        &self,
        daemon: SocketAddr,
        request: &Request,
        body: &str,
    ) -> Result<ClientResponse, ClientError> {
        let mut result = Err(ClientError::Timeout);
        for address in std::iter::once(&daemon).chain(&self.daemons) {
            let copy = copy_of(request, *address, body);
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
    ) -> Result<Streamed, ClientError> {
        let mut reply = self.begin(daemon, request, body).await?;
        if !reply.status().is_success() {
            let status = reply.status();
            return Ok(Streamed::Refused(status, reply.read_full(1 << 22).await?));
        }
        let reading = async {
            let mut sample = empty_sample();
            let mut finished = false;
            let mut lines = reply.body_mut().lines();
            while let Some(line) = lines.next().await {
                let line = line.map_err(ClientError::Exchange)?;
                let Some(data) = line.strip_prefix("data: ") else {
                    continue;
                };
                if data == "[DONE]" {
                    continue;
                }
                let Ok(event) = serde_json::from_str::<Event>(data) else {
                    return Ok(broken_off(data));
                };
                let [choice] = event.choices;
                sample.text += &choice.text;
                sample.text += choice.delta.as_ref().map_or("", |delta| &delta.content);
                sample.seed = event.seed;
                finished |= choice.finish_reason.is_some();
                if !append_segment(&mut sample.segments, event.segment) {
                    return Ok(Streamed::Unreadable);
                }
            }
            Ok(if finished { Streamed::Sample(sample) } else { Streamed::Unreadable })
        };
        let streamed = reading
            .or(async {
                Timer::after(TIMEOUT).await;
                Err(ClientError::Timeout)
            })
            .await?;
        reply.return_to_pool();
        Ok(streamed)
    }
}

enum Streamed {
    Sample(Sample),
    Unreadable,
    Refused(StatusCode, Vec<u8>),
}

/// A stream may end with an error as its last event: that is an answer, if not a whole one.
fn broken_off(data: &str) -> Streamed {
    match serde_json::from_str::<ErrorBody>(data) {
        Ok(body) => {
            log::info!("event=stream_broken_off error={:?}", body.error);
            Streamed::Refused(StatusCode::BadGateway, data.as_bytes().to_vec())
        }
        Err(_) => Streamed::Unreadable,
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

fn generation(path: &str, identifier: &str, daemon: SocketAddr) -> Request {
    let target = url(daemon, path).expect("a socket address makes a valid URL");
    let mut request = Request::new(Method::Post, target);
    request.insert_header("authorization", format!("Bearer {TOKEN}"));
    request.insert_header("x-request-id", identifier);
    request
}

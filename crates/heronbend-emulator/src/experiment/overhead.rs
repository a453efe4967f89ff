//! What a daemon adds, measured on real processes that `scripts/overhead` starts.
//!
//! In one run, in turn: requests sent directly to the application server, the same through the
//! daemon, and streamed completions, with the daemon's processor time read from the system.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::Context;
use hdrhistogram::Histogram;
use heronbend_http::http_types::{Method, Request};
use heronbend_http::Client;
use smol::{LocalExecutor, Timer};

use super::report::{latency_histogram, Arm, Report};
use super::ExperimentArguments;
use crate::application::NONCE_HEADER;
use crate::process::resident_kilobytes;
use crate::registration::url;

const THREADS: usize = 3;
const TIMEOUT: Duration = Duration::from_secs(20);
const MAX_BYTES: usize = 1 << 24;
const STREAMS: usize = 64;
/// System clock ticks a second, as Linux reports processor time.
const TICKS_PER_SECOND: f64 = 100.0;
const MICROS_P50: f64 = 150.0;
const MICROS_P99: f64 = 1500.0;
const MICROS_PER_TOKEN: f64 = 10.0;
const IDLE_MEGABYTES: f64 = 64.0;

/// Runs the phases and compares.
pub fn run(arguments: &ExperimentArguments) -> anyhow::Result<Report> {
    let daemon = arguments.daemon.context("--daemon is needed")?;
    let app = arguments.app.context("--app is needed")?;
    let pid = arguments.daemon_pid.context("--daemon-pid is needed")?;
    let idle_megabytes = resident_kilobytes(&pid.to_string())? / 1024.0;
    let _warm_up = send_evenly(daemon, arguments.rate / 4, 1)?;
    let before = processor_seconds(pid)?;
    let mut direct = latency_histogram();
    let mut through = latency_histogram();
    let mut daemon_seconds = 0.0;
    // In turn, so that whatever else the machine does touches both.
    for _ in 0..arguments.seconds {
        direct.add(send_evenly(app, arguments.rate, 1)?)?;
        let start = processor_seconds(pid)?;
        through.add(send_evenly(daemon, arguments.rate, 1)?)?;
        daemon_seconds += processor_seconds(pid)? - start;
    }
    log::info!("event=plain_phase_done processor_seconds={}", processor_seconds(pid)? - before);
    let start = processor_seconds(pid)?;
    let tokens = stream(daemon, arguments.seconds)?;
    let stream_seconds = processor_seconds(pid)? - start;
    let micros =
        |histogram: &Histogram<u64>, quantile| histogram.value_at_quantile(quantile) as f64;
    let figures = |histogram: &Histogram<u64>| {
        vec![
            ("p50 us", micros(histogram, 0.5)),
            ("p99 us", micros(histogram, 0.99)),
            ("p99.9 us", micros(histogram, 0.999)),
            ("max us", histogram.max() as f64),
            ("answers", histogram.len() as f64),
        ]
    };
    let added = |quantile| micros(&through, quantile) - micros(&direct, quantile);
    let per_request = daemon_seconds * 1e6 / through.len() as f64;
    let per_token = stream_seconds * 1e6 / tokens.max(1) as f64;
    let mut report = Report {
        experiment: "overhead",
        workload: format!(
            "{} requests/s for {} s each way; {tokens} streamed tokens; added p50 {:.0} us, p99 \
             {:.0} us; {per_request:.1} us of daemon processor a request, {per_token:.2} us a \
             token; {idle_megabytes:.1} MB resident at idle",
            arguments.rate,
            arguments.seconds,
            added(0.5),
            added(0.99)
        ),
        baseline: "direct".to_owned(),
        seeds: vec![arguments.seed],
        arms: vec![
            Arm::new("direct", &[figures(&direct)]),
            Arm::new("through a daemon", &[figures(&through)]),
        ],
        targets: Vec::new(),
    };
    report.demand("added p50 under 150 us", added(0.5) < MICROS_P50);
    report.demand("added p99 under 1.5 ms", added(0.99) < MICROS_P99);
    report.demand("a streamed token under 10 us of processor", per_token < MICROS_PER_TOKEN);
    report.demand("under 64 MB at idle", idle_megabytes < IDLE_MEGABYTES);
    Ok(report)
}

/// Sends at an even rate from several threads; latencies in microseconds from the moment each
/// request was due, so that a stall counts for all that it delays.
fn send_evenly(address: SocketAddr, rate: u64, seconds: u64) -> anyhow::Result<Histogram<u64>> {
    let threads: Vec<_> = (0..THREADS)
        .map(|_| std::thread::spawn(move || send_from_thread(address, rate, seconds)))
        .collect();
    let mut all = latency_histogram();
    for thread in threads {
        let part = thread.join().map_err(|_| anyhow::anyhow!("a sender panicked"))?;
        all.add(part?)?;
    }
    Ok(all)
}

fn send_from_thread(
    address: SocketAddr,
    rate: u64,
    seconds: u64,
) -> anyhow::Result<Histogram<u64>> {
    let executor = Rc::new(LocalExecutor::new());
    let histogram = Rc::new(RefCell::new(latency_histogram()));
    let client = Client::new();
    let interval = Duration::from_secs_f64(THREADS as f64 / rate as f64);
    let count = rate * seconds / THREADS as u64;
    smol::block_on(executor.run(async {
        let start = Instant::now();
        let mut tasks = Vec::new();
        for number in 0..count {
            let due = start + interval * number as u32;
            Timer::at(due).await;
            let (client, histogram) = (client.clone(), histogram.clone());
            tasks.push(executor.spawn(async move {
                let answer = client.fetch(address, reading(address), TIMEOUT, MAX_BYTES).await;
                if answer.is_ok_and(|(status, _)| status.is_success()) {
                    let micros = due.elapsed().as_micros() as u64;
                    histogram.borrow_mut().saturating_record(micros);
                }
            }));
        }
        for task in tasks {
            task.await;
        }
    }));
    let histogram = histogram.borrow().clone();
    Ok(histogram)
}

fn reading(address: SocketAddr) -> Request {
    let target = url(address, "/stations/7/reading").expect("a valid URL");
    let mut request = Request::new(Method::Get, target);
    request.insert_header("authorization", "Bearer municipality-token");
    request.insert_header(NONCE_HEADER, "overhead");
    request
}

/// Streams completions for some seconds; the number of tokens received.
fn stream(daemon: SocketAddr, seconds: u64) -> anyhow::Result<u64> {
    let executor = Rc::new(LocalExecutor::new());
    let client = Client::new();
    let end = Instant::now() + Duration::from_secs(seconds);
    smol::block_on(executor.run(async {
        let tasks: Vec<_> = (0..STREAMS)
            .map(|number| {
                let client = client.clone();
                executor.spawn(async move {
                    let mut events = 0;
                    let mut seed = number as u64;
                    while Instant::now() < end {
                        seed += STREAMS as u64;
                        let answer =
                            client.fetch(daemon, completion(daemon, seed), TIMEOUT, MAX_BYTES);
                        if let Ok((_, bytes)) = answer.await {
                            let text = String::from_utf8_lossy(&bytes);
                            events += text.matches("\"segment\"").count() as u64;
                        }
                    }
                    events
                })
            })
            .collect();
        let mut tokens = 0;
        for task in tasks {
            tokens += task.await;
        }
        Ok(tokens)
    }))
}

fn completion(address: SocketAddr, seed: u64) -> Request {
    let body = serde_json::json!({
        "model": "flood-bulletin", "prompt": format!("prompt {seed}"), "max_tokens": 512,
        "stream": true, "seed": seed,
    });
    let target = url(address, "/v1/completions").expect("a valid URL");
    let mut request = Request::new(Method::Post, target);
    request.insert_header("authorization", "Bearer municipality-token");
    request.set_body(body.to_string());
    request
}

fn processor_seconds(pid: u32) -> anyhow::Result<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let (_, fields) = text.rsplit_once(')').context("an unusual stat file")?;
    let ticks: Vec<f64> =
        fields.split_whitespace().skip(11).take(2).map(str::parse).collect::<Result<_, _>>()?;
    Ok(ticks.iter().sum::<f64>() / TICKS_PER_SECOND)
}

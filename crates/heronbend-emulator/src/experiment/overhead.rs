//! Latency and CPU overhead of a daemon, measured on the real processes that `scripts/overhead` starts.
//!
//! Alternates between requests sent directly to the application server and the same requests through
//! the daemon, then streams completions. The daemon's CPU time is read from `/proc`.

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

const SENDER_THREADS: usize = 3;
const TIMEOUT: Duration = Duration::from_secs(20);
const MAX_RESPONSE_BYTES: usize = 1 << 24;
const CONCURRENT_STREAMS: usize = 64;
/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
const MAX_ADDED_P50_MICROS: f64 = 150.0;
const MAX_ADDED_P99_MICROS: f64 = 1500.0;
const MAX_CPU_MICROS_PER_TOKEN: f64 = 10.0;
const MAX_IDLE_MEGABYTES: f64 = 64.0;

/// Runs all phases.
///
/// Fails if a required flag is missing or the daemon's `/proc` entries cannot be read.
pub fn run(arguments: &ExperimentArguments) -> anyhow::Result<Report> {
    let daemon = arguments.daemon.context("--daemon is needed")?;
    let app = arguments.app.context("--app is needed")?;
    let pid = arguments.daemon_pid.context("--daemon-pid is needed")?;
    let idle_megabytes = resident_kilobytes(&pid.to_string())? / 1024.0;
    let _warm_up = send_at_constant_rate(daemon, arguments.rate / 4, 1)?;
    let warmed_up_at = cpu_seconds(pid)?;
    let mut direct = latency_histogram();
    let mut via_daemon = latency_histogram();
    let mut daemon_seconds = 0.0;
    // Alternates, so that other load on the machine affects both measurements.
    for _ in 0..arguments.seconds {
        direct.add(send_at_constant_rate(app, arguments.rate, 1)?)?;
        let start = cpu_seconds(pid)?;
        via_daemon.add(send_at_constant_rate(daemon, arguments.rate, 1)?)?;
        daemon_seconds += cpu_seconds(pid)? - start;
    }
    log::info!("event=plain_phase_done processor_seconds={}", cpu_seconds(pid)? - warmed_up_at);
    let start = cpu_seconds(pid)?;
    let tokens = stream_completions(daemon, arguments.seconds)?;
    let stream_seconds = cpu_seconds(pid)? - start;
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
    let added = |quantile| micros(&via_daemon, quantile) - micros(&direct, quantile);
    let per_request = daemon_seconds * 1e6 / via_daemon.len() as f64;
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
            Arm::new("through a daemon", &[figures(&via_daemon)]),
        ],
        targets: Vec::new(),
    };
    report.add_target("added p50 under 150 us", added(0.5) < MAX_ADDED_P50_MICROS);
    report.add_target("added p99 under 1.5 ms", added(0.99) < MAX_ADDED_P99_MICROS);
    report.add_target(
        "a streamed token under 10 us of processor",
        per_token < MAX_CPU_MICROS_PER_TOKEN,
    );
    report.add_target("under 64 MB at idle", idle_megabytes < MAX_IDLE_MEGABYTES);
    Ok(report)
}

/// Sends requests at a constant rate from several threads and returns their latencies.
///
/// Latencies are in microseconds since each request's scheduled time, which avoids coordinated omission.
fn send_at_constant_rate(
    address: SocketAddr,
    rate: u64,
    seconds: u64,
) -> anyhow::Result<Histogram<u64>> {
    let threads: Vec<_> = (0..SENDER_THREADS)
        .map(|_| std::thread::spawn(move || send_from_thread(address, rate, seconds)))
        .collect();
    let mut merged = latency_histogram();
    for thread in threads {
        let thread_histogram = thread.join().map_err(|_| anyhow::anyhow!("a sender panicked"))?;
        merged.add(thread_histogram?)?;
    }
    Ok(merged)
}

fn send_from_thread(
    address: SocketAddr,
    rate: u64,
    seconds: u64,
) -> anyhow::Result<Histogram<u64>> {
    let executor = Rc::new(LocalExecutor::new());
    let histogram = Rc::new(RefCell::new(latency_histogram()));
    let client = Client::new();
    let interval = Duration::from_secs_f64(SENDER_THREADS as f64 / rate as f64);
    let count = rate * seconds / SENDER_THREADS as u64;
    smol::block_on(executor.run(async {
        let start = Instant::now();
        let mut tasks = Vec::new();
        for number in 0..count {
            let send_at = start + interval * number as u32;
            Timer::at(send_at).await;
            let (client, histogram) = (client.clone(), histogram.clone());
            tasks.push(executor.spawn(async move {
                let response = client
                    .fetch(address, reading_request(address), TIMEOUT, MAX_RESPONSE_BYTES)
                    .await;
                if response.is_ok_and(|(status, _)| status.is_success()) {
                    let micros = send_at.elapsed().as_micros() as u64;
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

fn reading_request(address: SocketAddr) -> Request {
    let target = url(address, "/stations/7/reading").expect("a valid URL");
    let mut request = Request::new(Method::Get, target);
    request.insert_header("authorization", "Bearer municipality-token");
    request.insert_header(NONCE_HEADER, "overhead");
    request
}

/// Streams completions concurrently for `seconds`; returns the number of tokens received.
fn stream_completions(daemon: SocketAddr, seconds: u64) -> anyhow::Result<u64> {
    let executor = Rc::new(LocalExecutor::new());
    let client = Client::new();
    let end = Instant::now() + Duration::from_secs(seconds);
    smol::block_on(executor.run(async {
        let tasks: Vec<_> = (0..CONCURRENT_STREAMS)
            .map(|number| {
                let client = client.clone();
                executor.spawn(async move {
                    let mut events = 0;
                    let mut seed = number as u64;
                    while Instant::now() < end {
                        seed += CONCURRENT_STREAMS as u64;
                        let response = client.fetch(
                            daemon,
                            completion_request(daemon, seed),
                            TIMEOUT,
                            MAX_RESPONSE_BYTES,
                        );
                        if let Ok((_, bytes)) = response.await {
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

fn completion_request(address: SocketAddr, seed: u64) -> Request {
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

fn cpu_seconds(pid: u32) -> anyhow::Result<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let (_, fields) = text.rsplit_once(')').context("no process name in the stat file")?;
    let ticks: Vec<f64> =
        fields.split_whitespace().skip(11).take(2).map(str::parse).collect::<Result<_, _>>()?;
    Ok(ticks.iter().sum::<f64>() / TICKS_PER_SECOND)
}

//! Load generator: sends a mix of requests, then checks the responses against the backends' ledgers.

mod generation;
mod report;
mod request;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use clap::Args;
use heronbend_http::Client;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smol::{LocalExecutor, Timer};

use report::{LoadTestReport, Observations};
use request::{RequestKind, Sender};

/// Flags of `load`.
#[derive(Args, Clone)]
pub struct LoadArguments {
    /// Addresses of the daemons to send to.
    #[arg(long, value_delimiter = ',', required = true)]
    daemons: Vec<SocketAddr>,
    /// Addresses of the application servers whose ledgers are read; the first also gets direct requests
    /// for latency comparison.
    #[arg(long, value_delimiter = ',')]
    apps: Vec<SocketAddr>,
    /// Addresses of the engines whose ledgers are read.
    #[arg(long, value_delimiter = ',')]
    engines: Vec<SocketAddr>,
    /// Addresses of the trainers whose reports are read.
    #[arg(long, value_delimiter = ',')]
    trainers: Vec<SocketAddr>,
    /// Duration of the load, in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Total request rate, in requests per second.
    #[arg(long, default_value_t = 400)]
    rate: u64,
    /// Maximum number of requests in flight.
    #[arg(long, default_value_t = 32)]
    workers: u64,
    /// Model that generation requests name.
    #[arg(long, default_value = "flood-bulletin")]
    model: String,
    /// Seed of the request mix.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Tolerate lost responses and unknown outcomes, for runs with injected faults.
    #[arg(long)]
    faults: bool,
    /// Minimum number of steps that the trainers must have received.
    #[arg(long, default_value_t = 1)]
    min_steps: u64,
    /// File to write the JSON report to, in addition to standard output.
    #[arg(long)]
    json: Option<PathBuf>,
}

/// Sends the load and prints the report as one line of JSON.
///
/// Fails if the report contains a violation.
pub fn run(arguments: &LoadArguments) -> anyhow::Result<()> {
    log::info!("event=load_started seed={} seconds={}", arguments.seed, arguments.seconds);
    let executor = Rc::new(LocalExecutor::new());
    let report = smol::block_on(executor.run(send_and_check(executor.clone(), arguments)))?;
    let line = serde_json::to_string(&report)?;
    if let Some(path) = &arguments.json {
        std::fs::write(path, &line)?;
    }
    println!("{line}");
    let violations = report.violations(arguments.min_steps, arguments.faults);
    anyhow::ensure!(violations.is_empty(), "violations: {}", violations.join(", "));
    Ok(())
}

async fn send_and_check(
    executor: Rc<LocalExecutor<'static>>,
    arguments: &LoadArguments,
) -> anyhow::Result<LoadTestReport> {
    let observations = Rc::new(RefCell::new(Observations::default()));
    let end = Instant::now() + Duration::from_secs(arguments.seconds);
    let workers: Vec<_> = (0..arguments.workers)
        .map(|worker| {
            let worker = Worker {
                arguments: arguments.clone(),
                number: worker,
                observations: observations.clone(),
                end,
            };
            executor.spawn(worker.run())
        })
        .collect();
    for worker in workers {
        worker.await;
    }
    let observations = observations.take();
    LoadTestReport::evaluate(
        &observations,
        &arguments.engines,
        &arguments.apps,
        &arguments.trainers,
    )
    .await
}

struct Worker {
    arguments: LoadArguments,
    number: u64,
    observations: Rc<RefCell<Observations>>,
    end: Instant,
}

impl Worker {
    /// Sends requests at a constant rate until `end`, waiting for each response.
    async fn run(self) {
        let Self { arguments, number, observations, end } = self;
        let mut random = SmallRng::seed_from_u64(arguments.seed * 1000 + number);
        let sender = Sender {
            client: Client::new(),
            daemons: arguments.daemons.clone(),
            model: arguments.model.clone(),
            observations,
        };
        let interval = Duration::from_secs_f64(arguments.workers as f64 / arguments.rate as f64);
        let mut send_at = Instant::now() + interval.mul_f64(random.random());
        let mut sent = 0_u64;
        while Instant::now() < end {
            Timer::at(send_at).await;
            send_at = (send_at + interval).max(Instant::now());
            sent += 1;
            let identifier = format!("load-{}-{number}-{sent}", arguments.seed);
            let index = random.random_range(0..arguments.daemons.len());
            let daemon = arguments.daemons[index];
            let other = arguments.daemons[(index + 1) % arguments.daemons.len()];
            let direct = arguments.apps.first().copied();
            let kind = RequestKind::random(&mut random);
            sender.send(kind, &identifier, daemon, other, direct).await;
        }
    }
}

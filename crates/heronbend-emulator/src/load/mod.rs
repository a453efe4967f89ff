//! Sends load, then checks every answer against the stand-ins' ledgers.

mod generation;
mod request;
mod verdict;

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

use request::{Kind, Sender};
use verdict::{Observations, Verdict};

/// Flags of `load`.
#[derive(Args, Clone)]
pub struct LoadArguments {
    /// Daemons to send to.
    #[arg(long, value_delimiter = ',', required = true)]
    daemons: Vec<SocketAddr>,
    /// Application servers whose ledgers are read; the first is also sent to directly.
    #[arg(long, value_delimiter = ',')]
    apps: Vec<SocketAddr>,
    /// Engines whose ledgers are read.
    #[arg(long, value_delimiter = ',')]
    engines: Vec<SocketAddr>,
    /// Trainers whose reports are read.
    #[arg(long, value_delimiter = ',')]
    trainers: Vec<SocketAddr>,
    /// How long to send.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Requests a second, all workers together.
    #[arg(long, default_value_t = 400)]
    rate: u64,
    /// Requests under way at most.
    #[arg(long, default_value_t = 32)]
    workers: u64,
    /// Model to generate with.
    #[arg(long, default_value = "flood-bulletin")]
    model: String,
    /// Seed of the mix.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Leave refusals that a fault explains out of the exit code.
    #[arg(long)]
    faults: bool,
    /// Steps that the trainers must have received for success.
    #[arg(long, default_value_t = 1)]
    min_steps: u64,
    /// Also write the verdict to this file.
    #[arg(long)]
    json: Option<PathBuf>,
}

/// Sends the load and prints the verdict as one line of JSON; an error when a promise was broken.
pub fn run(arguments: &LoadArguments) -> anyhow::Result<()> {
    log::info!("event=load_started seed={} seconds={}", arguments.seed, arguments.seconds);
    let executor = Rc::new(LocalExecutor::new());
    let verdict = smol::block_on(executor.run(send_and_judge(executor.clone(), arguments)))?;
    let line = serde_json::to_string(&verdict)?;
    if let Some(path) = &arguments.json {
        std::fs::write(path, &line)?;
    }
    println!("{line}");
    let broken = verdict.broken_promises(arguments.min_steps, arguments.faults);
    anyhow::ensure!(broken.is_empty(), "broken promises: {}", broken.join(", "));
    Ok(())
}

async fn send_and_judge(
    executor: Rc<LocalExecutor<'static>>,
    arguments: &LoadArguments,
) -> anyhow::Result<Verdict> {
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
            executor.spawn(worker.work())
        })
        .collect();
    for worker in workers {
        worker.await;
    }
    let observations = observations.take();
    Verdict::judge(&observations, &arguments.engines, &arguments.apps, &arguments.trainers).await
}

struct Worker {
    arguments: LoadArguments,
    number: u64,
    observations: Rc<RefCell<Observations>>,
    end: Instant,
}

impl Worker {
    /// Sends at an even pace until the time is over; waits for its answers.
    async fn work(self) {
        let Self { arguments, number, observations, end } = self;
        let mut random = SmallRng::seed_from_u64(arguments.seed * 1000 + number);
        let sender = Sender {
            client: Client::new(),
            daemons: arguments.daemons.clone(),
            model: arguments.model.clone(),
            observations,
        };
        let interval = Duration::from_secs_f64(arguments.workers as f64 / arguments.rate as f64);
        let mut due = Instant::now() + interval.mul_f64(random.random());
        let mut sent = 0_u64;
        while Instant::now() < end {
            Timer::at(due).await;
            due = (due + interval).max(Instant::now());
            sent += 1;
            let identifier = format!("load-{}-{number}-{sent}", arguments.seed);
            let first = random.random_range(0..arguments.daemons.len());
            let daemon = arguments.daemons[first];
            let other = arguments.daemons[(first + 1) % arguments.daemons.len()];
            let direct = arguments.apps.first().copied();
            let kind = Kind::draw(&mut random);
            sender.send(kind, &identifier, daemon, other, direct).await;
        }
    }
}

//! Experiments that compare several arms with a baseline.
//!
//! Experiments on state machines run on virtual time and are deterministic for a seed; experiments on
//! I/O run against real processes.

mod overhead;
mod overload;
mod report;
mod rollout;
mod routing;
mod weights;

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Args;

use report::Report;

/// Names of the experiments and the question that each one answers.
const EXPERIMENTS: [(&str, &str); 5] = [
    ("rollout", "How much do sampling order, hedging, early generation and migration reduce trainer idle time and staleness?"),
    ("routing", "Which load balancing strategy keeps latency low when load reports lag and backends misbehave?"),
    ("overload", "Which admission policy preserves goodput and latency at 2 and 5 times capacity?"),
    ("weights", "How long until all servers have loaded a version, and how many serve in the meantime?"),
    ("overhead", "How much latency does a daemon add, and how much CPU time does a streamed token cost? (needs processes: scripts/overhead)"),
];

/// Flags of `experiment`.
#[derive(Args)]
pub struct ExperimentArguments {
    /// Name of the experiment; `list` prints all of them.
    name: String,
    /// First random seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of consecutive seeds.
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    /// File to write the JSON report to.
    #[arg(long)]
    json: Option<PathBuf>,
    /// File to write an SVG plot to.
    #[arg(long)]
    plot: Option<PathBuf>,
    /// overhead: address of the daemon.
    #[arg(long)]
    daemon: Option<SocketAddr>,
    /// overhead: process identifier of the daemon.
    #[arg(long)]
    daemon_pid: Option<u32>,
    /// overhead: address of the application server, for direct requests.
    #[arg(long)]
    app: Option<SocketAddr>,
    /// overhead: requests per second.
    #[arg(long, default_value_t = 5000)]
    rate: u64,
    /// overhead: duration of each phase, in seconds.
    #[arg(long, default_value_t = 5)]
    seconds: u64,
}

/// Runs an experiment and prints its results.
///
/// Fails for an unknown experiment or when a target is not met.
pub fn run(arguments: &ExperimentArguments) -> anyhow::Result<()> {
    let seeds: Vec<u64> = (arguments.seed..arguments.seed + arguments.seeds).collect();
    let report: Report = match arguments.name.as_str() {
        "list" => {
            for (name, question) in EXPERIMENTS {
                println!("{name:<10} {question}");
            }
            return Ok(());
        }
        "rollout" => rollout::run(&seeds),
        "routing" => routing::run(&seeds),
        "overload" => overload::run(&seeds),
        "weights" => weights::run(&seeds),
        "overhead" => overhead::run(arguments)?,
        other => anyhow::bail!("there is no experiment {other:?}; see `experiment list`"),
    };
    report.print();
    if let Some(path) = &arguments.json {
        std::fs::write(path, serde_json::to_string_pretty(&report)?)?;
    }
    if let Some(path) = &arguments.plot {
        report.plot(path)?;
    }
    report.check()
}

//! Experiments: arms against a named baseline, in one run.
//!
//! On virtual time where the subject is a state machine, so that one seed gives the same figures
//! always; against real processes where it is I/O.

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

/// Experiments and the question that each answers.
const EXPERIMENTS: [(&str, &str); 5] = [
    ("rollout", "How much do order, hedging, early draw and migration cut trainer idle time and staleness?"),
    ("routing", "Which choice of back end keeps waiting low when reports lag and back ends misbehave?"),
    ("overload", "Which admission keeps goodput and latency at 2 and 5 times capacity?"),
    ("weights", "How long until all servers have a version, and how many serve meanwhile?"),
    ("overhead", "What do daemons add to latency, and what does a streamed token cost? (needs processes: scripts/overhead)"),
];

/// Flags of `experiment`.
#[derive(Args)]
pub struct ExperimentArguments {
    /// Which; `list` says what each answers.
    name: String,
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds, for the spread.
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    /// Write the report to this file.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Write a plot to this file.
    #[arg(long)]
    plot: Option<PathBuf>,
    /// overhead: the daemon.
    #[arg(long)]
    daemon: Option<SocketAddr>,
    /// overhead: the daemon's process identifier.
    #[arg(long)]
    daemon_pid: Option<u32>,
    /// overhead: the application server, to be asked directly.
    #[arg(long)]
    app: Option<SocketAddr>,
    /// overhead: requests a second.
    #[arg(long, default_value_t = 5000)]
    rate: u64,
    /// overhead: seconds a phase.
    #[arg(long, default_value_t = 5)]
    seconds: u64,
}

/// Runs an experiment and prints its table.
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

//! The heronbend daemon and its command line.

mod admin;
mod cli;
mod dispatch;
mod failpoints;
mod front;
mod generation;
mod peer;
mod platform_client;
mod quarantine;
mod serve;
mod shared;
mod tasks;
mod telemetry;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

const EXAMPLES: &str = "Examples:
  heronbend check examples/gauge/settings.toml
  heronbend serve --config examples/gauge/gauge-1.toml
  heronbend settings apply examples/gauge/settings.toml --admin 127.0.0.1:7301
  heronbend settings get /pools/bulletin --resolved --admin 127.0.0.1:7301
  heronbend settings set /trainers/bulletin staleness_bound=2 --admin 127.0.0.1:7301
  heronbend status --admin 127.0.0.1:7301 --json
  heronbend drain engine-3 --admin 127.0.0.1:7301

Exit codes: 0 success; 1 rejected or failed; 2 usage error; 3 settings have findings;
4 conflict with another edit; 5 outcome unknown, retry.";

/// Rollout service for reinforcement learning.
#[derive(Parser)]
#[command(version, after_help = EXAMPLES)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a daemon until SIGTERM, then drain and exit.
    Serve(serve::ServeArguments),
    /// Check a settings file and print all findings.
    Check(cli::check::CheckArguments),
    /// Read and edit the active settings.
    #[command(subcommand)]
    Settings(cli::settings::SettingsCommand),
    /// Show pools, engines, versions, daemons, drains and revision.
    Status(cli::status::StatusArguments),
    /// Drain a backend, or drain and stop the daemon at the admin address.
    Drain(cli::drain::DrainArguments),
    /// Repair replica sets.
    #[command(subcommand)]
    Shards(cli::shards::ShardsCommand),
    /// Read a bearer token from standard input and print its digest for use in settings.
    Digest,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let is_daemon = matches!(arguments.command, Command::Serve(_));
    let level = if is_daemon { log::LevelFilter::Info } else { log::LevelFilter::Warn };
    let config = simplelog::ConfigBuilder::new().set_time_format_rfc3339().build();
    // Fails only if a logger is already installed.
    let _ = simplelog::WriteLogger::init(level, config, std::io::stderr());
    let result = match arguments.command {
        Command::Serve(arguments) => serve::run(arguments).map(|()| ExitCode::SUCCESS),
        Command::Check(arguments) => cli::check::run(&arguments),
        Command::Settings(command) => cli::settings::run(command),
        Command::Status(arguments) => cli::status::run(&arguments),
        Command::Drain(arguments) => cli::drain::run(&arguments),
        Command::Shards(command) => cli::shards::run(&command),
        Command::Digest => cli::digest(),
    };
    result.unwrap_or_else(|error| {
        eprintln!("heronbend: {error:#}");
        ExitCode::from(cli::EXIT_FAILED)
    })
}

//! Stand-ins for everything heronbend talks to, with load and experiments.
//!
//! Each subcommand is one process: the platform, a model engine, an application server, a scorer, a
//! trainer, or the load. A process starts no other; `scripts/demo` puts them together.

mod application;
mod engine;
mod experiment;
mod hollow;
mod ledger;
mod load;
mod model_text;
mod platform;
mod ports;
mod process;
mod registration;
mod service;
mod trainer;

use clap::{Parser, Subcommand};

#[derive(Parser)]
#[command(version, about = "Stand-ins, load and experiments for heronbend", long_about = None)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Object API, list of machines and weight store.
    Platform(platform::PlatformArguments),
    /// A model engine.
    Engine(engine::EngineArguments),
    /// An application server.
    App(application::ApplicationArguments),
    /// A service that scores samples.
    Scorer(application::ApplicationArguments),
    /// A trainer.
    Trainer(trainer::TrainerArguments),
    /// Sends load, then checks every answer against the stand-ins' ledgers.
    Load(load::LoadArguments),
    /// Runs an experiment with arms in one process.
    Experiment(experiment::ExperimentArguments),
    /// Runs a fleet of hollow daemons on virtual time and measures what control costs.
    Hollow(hollow::HollowArguments),
    /// Prints free loopback ports, one a line.
    Ports(ports::PortArguments),
}

fn main() -> anyhow::Result<()> {
    let config = simplelog::ConfigBuilder::new().build();
    simplelog::SimpleLogger::init(log::LevelFilter::Info, config)?;
    match Arguments::parse().command {
        Command::Platform(arguments) => platform::run(&arguments),
        Command::Engine(arguments) => engine::run(arguments),
        Command::App(arguments) => application::run(arguments, application::Duty::Serve),
        Command::Scorer(arguments) => application::run(arguments, application::Duty::Score),
        Command::Trainer(arguments) => trainer::run(arguments),
        Command::Load(arguments) => load::run(&arguments),
        Command::Experiment(arguments) => experiment::run(&arguments),
        Command::Hollow(arguments) => hollow::run(&arguments),
        Command::Ports(arguments) => ports::run(&arguments),
    }
}

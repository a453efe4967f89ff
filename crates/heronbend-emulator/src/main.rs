//! Emulators of the services that heronbend talks to, a load generator, and experiments.
//!
//! Each subcommand runs as one process and starts no other process; `scripts/demo` starts a complete
//! system.

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
    /// Emulates the platform: object API, machine list and weight store.
    Platform(platform::PlatformArguments),
    /// Emulates a model engine.
    Engine(engine::EngineArguments),
    /// Emulates an application server.
    App(application::ApplicationArguments),
    /// Emulates a service that scores samples.
    Scorer(application::ApplicationArguments),
    /// Emulates a trainer.
    Trainer(trainer::TrainerArguments),
    /// Sends load, then checks the responses against the ledgers of the emulated backends.
    Load(load::LoadArguments),
    /// Runs an experiment that compares several arms with a baseline.
    Experiment(experiment::ExperimentArguments),
    /// Simulates a fleet of daemons on virtual time and measures the cost of the control plane.
    Hollow(hollow::HollowArguments),
    /// Prints free loopback ports, one per line.
    Ports(ports::PortArguments),
}

fn main() -> anyhow::Result<()> {
    let config = simplelog::ConfigBuilder::new().build();
    simplelog::SimpleLogger::init(log::LevelFilter::Info, config)?;
    match Arguments::parse().command {
        Command::Platform(arguments) => platform::run(&arguments),
        Command::Engine(arguments) => engine::run(arguments),
        Command::App(arguments) => application::run(arguments, application::Role::Serve),
        Command::Scorer(arguments) => application::run(arguments, application::Role::Score),
        Command::Trainer(arguments) => trainer::run(arguments),
        Command::Load(arguments) => load::run(&arguments),
        Command::Experiment(arguments) => experiment::run(&arguments),
        Command::Hollow(arguments) => hollow::run(&arguments),
        Command::Ports(arguments) => ports::run(&arguments),
    }
}

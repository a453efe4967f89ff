//! The `heronbend status` command.

use std::process::ExitCode;

use clap::Args;

use super::Target;
use crate::admin::Status;

/// Flags of `status`.
#[derive(Args)]
pub struct StatusArguments {
    #[command(flatten)]
    target: Target,
}

/// Prints a daemon's status.
pub fn run(arguments: &StatusArguments) -> anyhow::Result<ExitCode> {
    let status: Status = arguments.target.get("/admin/status")?;
    if arguments.target.json {
        println!("{}", serde_json::to_string_pretty(&status)?);
    } else {
        print(&status);
    }
    Ok(ExitCode::SUCCESS)
}

fn print(status: &Status) {
    println!(
        "{} in {} ({}): revision {}, {}, {} requests and {} steps in progress",
        status.node,
        status.zone,
        status.region,
        status.settings_revision,
        state(status),
        status.exchanges,
        status.steps.len()
    );
    println!(
        "{} shards, epochs {}{}",
        status.shard_map.shards.len(),
        status.shard_epochs,
        if status.shards_need_placing { ", a member must be replaced" } else { "" }
    );
    println!("\n{:<24} {:<16} LIVENESS", "DAEMON", "ZONE");
    for member in &status.members {
        println!("{:<24} {:<16} {:?}", member.id.name.0, member.zone, member.liveness);
    }
    println!(
        "\n{:<24} {:>6} {:>6} {:>7} {:>10} {:>7} {:>8}",
        "TRAINER", "STEP", "FLOOR", "SLOTS", "DELIVERED", "READY", "DRAWING"
    );
    for step in &status.steps {
        println!(
            "{:<24} {:>6} {:>6} {:>7} {:>10} {:>7} {:>8}",
            step.trainer,
            step.step,
            step.floor,
            step.slots,
            step.delivered,
            step.ready,
            step.drawing
        );
    }
    println!(
        "\n{:<16} {:<24} {:<16} {:<8} {:>7} {:>7} {:>7}",
        "POOL", "BACK END", "ZONE", "PHASE", "RUNNING", "WAITING", "VERSION"
    );
    for backend in &status.backends {
        let version = backend.version.map_or("-".to_owned(), |version| version.to_string());
        println!(
            "{:<16} {:<24} {:<16} {:<8} {:>7} {:>7} {:>7}",
            backend.pool,
            backend.name,
            backend.zone,
            format!("{:?}", backend.phase),
            backend.running,
            backend.waiting,
            version
        );
    }
}

fn state(status: &Status) -> &'static str {
    if status.draining {
        "draining"
    } else if status.serves {
        "serving"
    } else {
        "not serving"
    }
}

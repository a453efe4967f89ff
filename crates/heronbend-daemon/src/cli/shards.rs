//! `heronbend shards`.

use std::process::ExitCode;

use clap::{Args, Subcommand};

use super::Target;
use crate::admin::{RebuildRequest, Rebuilt};

/// Subcommands of `shards`.
#[derive(Subcommand)]
pub enum ShardsCommand {
    /// Open shards again that have lost a majority of their replicas for good, as after a restart of
    /// all daemons at once. Keys of requests that they held may run again, and steps that were being
    /// drawn begin anew.
    Rebuild(RebuildArguments),
}

/// Flags of `shards rebuild`.
#[derive(Args)]
pub struct RebuildArguments {
    /// Accept that what these shards held is lost.
    #[arg(long, required = true)]
    accept_loss: bool,
    #[command(flatten)]
    target: Target,
}

/// Runs a subcommand.
pub fn run(command: &ShardsCommand) -> anyhow::Result<ExitCode> {
    let ShardsCommand::Rebuild(arguments) = command;
    let request_body = RebuildRequest { accept_loss: arguments.accept_loss };
    let (status, bytes) = arguments.target.post("/admin/shards/rebuild", &request_body)?;
    anyhow::ensure!(
        status.is_success(),
        "the daemon answered {status}: {}",
        String::from_utf8_lossy(&bytes)
    );
    let rebuilt: Rebuilt = serde_json::from_slice(&bytes)?;
    println!("{} shards rebuilt", rebuilt.shards);
    Ok(ExitCode::SUCCESS)
}

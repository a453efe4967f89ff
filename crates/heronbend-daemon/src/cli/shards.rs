//! The `heronbend shards` commands.

use std::process::ExitCode;

use clap::{Args, Subcommand};

use super::Target;
use crate::admin::{RebuildRequest, Rebuilt};

/// Subcommands of `shards`.
#[derive(Subcommand)]
pub enum ShardsCommand {
    /// Reopen shards that have permanently lost a majority of their replicas, for example after all
    /// daemons restarted at once. Requests with keys stored in them may run again, and steps in
    /// progress start over.
    Rebuild(RebuildArguments),
}

/// Flags of `shards rebuild`.
#[derive(Args)]
pub struct RebuildArguments {
    /// Accept that the data of these shards is lost.
    #[arg(long, required = true)]
    accept_loss: bool,
    #[command(flatten)]
    target: Target,
}

/// Runs a `shards` subcommand.
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

//! The `heronbend drain` command.

use std::process::ExitCode;

use clap::Args;

use super::Target;
use crate::admin::DrainRequest;

/// Flags of `drain`.
#[derive(Args)]
pub struct DrainArguments {
    /// Name of a backend, or of the daemon at the admin address.
    node: String,
    #[command(flatten)]
    target: Target,
}

/// Requests a drain of the node.
pub fn run(arguments: &DrainArguments) -> anyhow::Result<ExitCode> {
    let request_body = DrainRequest { node: arguments.node.clone() };
    let (status, bytes) = arguments.target.post("/admin/drain", &request_body)?;
    anyhow::ensure!(
        status.is_success(),
        "the daemon answered {status}: {}",
        String::from_utf8_lossy(&bytes)
    );
    println!("{} is draining", arguments.node);
    Ok(ExitCode::SUCCESS)
}

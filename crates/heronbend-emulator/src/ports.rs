//! The `ports` command: finds free loopback ports for scripts that start several processes.

use std::net::TcpListener;

use clap::Args;

/// Flags of `ports`.
#[derive(Args)]
pub struct PortArguments {
    /// Number of ports.
    count: usize,
}

/// Prints distinct unused ports, one per line.
pub fn run(arguments: &PortArguments) -> anyhow::Result<()> {
    let listeners = (0..arguments.count)
        .map(|_| TcpListener::bind(("127.0.0.1", 0)))
        .collect::<Result<Vec<_>, _>>()?;
    for listener in &listeners {
        println!("{}", listener.local_addr()?.port());
    }
    Ok(())
}

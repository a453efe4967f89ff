//! Commands for operators, most of which call a running daemon.

pub mod check;
pub mod drain;
pub mod settings;
pub mod shards;
pub mod status;

use std::io::Read;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Context;
use clap::Args;
use heronbend::settings::policy::token_digest;
use heronbend_http::http_types::{Method, Request, StatusCode, Url};
use heronbend_http::Client;
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Exit code: the request was rejected or failed.
pub const EXIT_FAILED: u8 = 1;
/// Exit code: the settings have findings.
pub const EXIT_FINDINGS: u8 = 3;
/// Exit code: the edit conflicts with another edit.
pub const EXIT_CONFLICT: u8 = 4;
/// Exit code: it is unknown whether the edit was applied.
pub const EXIT_UNKNOWN: u8 = 5;

const TIMEOUT: Duration = Duration::from_secs(15);
const MAX_BYTES: usize = 64 << 20;

/// Daemon to connect to, and output format.
#[derive(Args, Debug, Clone)]
pub struct Target {
    /// Admin address of any daemon.
    #[arg(long, env = "HERONBEND_ADMIN", default_value = "127.0.0.1:7300")]
    pub admin: SocketAddr,
    /// Print JSON.
    #[arg(long)]
    pub json: bool,
}

impl Target {
    /// Sends a GET request and decodes the JSON response.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> anyhow::Result<T> {
        let (status, bytes) = self.send(Method::Get, path, Vec::new())?;
        anyhow::ensure!(
            status.is_success(),
            "the daemon answered {status}: {}",
            String::from_utf8_lossy(&bytes)
        );
        Ok(serde_json::from_slice(&bytes)?)
    }

    /// Sends a POST request with a JSON body; returns the response status and body.
    pub fn post(&self, path: &str, body: &impl Serialize) -> anyhow::Result<(StatusCode, Vec<u8>)> {
        self.send(Method::Post, path, serde_json::to_vec(body)?)
    }

    fn send(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> anyhow::Result<(StatusCode, Vec<u8>)> {
        let url = Url::parse(&format!("http://{}{path}", self.admin))?;
        let mut request = Request::new(method, url);
        request.set_body(body);
        smol::block_on(Client::new().fetch(self.admin, request, TIMEOUT, MAX_BYTES))
            .with_context(|| format!("calling the daemon at {}", self.admin))
    }
}

/// Prints the digest of a token read from standard input.
pub fn digest() -> anyhow::Result<ExitCode> {
    let mut token = String::new();
    std::io::stdin().read_to_string(&mut token)?;
    println!("{}", token_digest(token.trim()));
    Ok(ExitCode::SUCCESS)
}

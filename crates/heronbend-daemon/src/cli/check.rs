//! The `heronbend check` command.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use clap::Args;
use heronbend::settings::finding::Findings;
use heronbend::settings::Tree;

use super::EXIT_FINDINGS;

/// Flags of `check`.
#[derive(Args)]
pub struct CheckArguments {
    /// Settings files.
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

/// Checks all files and prints their findings.
pub fn run(arguments: &CheckArguments) -> anyhow::Result<ExitCode> {
    let mut findings = Vec::new();
    for path in &arguments.files {
        if let Err(found) = read_tree(path)? {
            findings.extend(found.0);
        }
    }
    if arguments.json {
        println!("{}", serde_json::to_string_pretty(&findings)?);
    } else {
        for finding in &findings {
            println!("{finding}");
        }
    }
    Ok(if findings.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(EXIT_FINDINGS) })
}

/// Reads and parses a settings file; the inner result holds the findings of an invalid file.
pub fn read_tree(path: &PathBuf) -> anyhow::Result<Result<Tree, Findings>> {
    let name = path.display().to_string();
    let bytes = std::fs::read(path).with_context(|| format!("reading {name}"))?;
    let text = String::from_utf8(bytes).with_context(|| format!("{name} is not UTF-8"))?;
    Ok(Tree::from_toml(&name, &text))
}

//! The `heronbend settings` commands.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use clap::{Args, Subcommand};
use heronbend::settings::revision::set_field;
use heronbend::settings::{EditConflict, NodeEdit, NodePath, RawValue, SettingsObject, Tree};
use rand::Rng;

use super::check::read_tree;
use super::{Target, EXIT_CONFLICT, EXIT_FAILED, EXIT_FINDINGS, EXIT_UNKNOWN};
use crate::admin::EditAccepted;
use crate::tasks::settings::{EditError, EditRequest};

const SETTINGS_PATH: &str = "/admin/settings";

/// Subcommands of `settings`.
#[derive(Subcommand)]
pub enum SettingsCommand {
    /// Print one node, or all nodes.
    Get(GetArguments),
    /// Change fields of a node: FIELD=VALUE to set one, FIELD= to remove it.
    Set(SetArguments),
    /// Replace the active settings with those of a file.
    Apply(FileArguments),
    /// Show what `apply` would change.
    Diff(FileArguments),
    /// List the latest edits.
    History(HistoryArguments),
}

/// Flags of `settings get`.
#[derive(Args)]
pub struct GetArguments {
    /// Path of the node; all nodes if omitted.
    node: Option<String>,
    /// Show all effective values, and the node each comes from.
    #[arg(long)]
    resolved: bool,
    #[command(flatten)]
    target: Target,
}

/// Flags of `settings set`.
#[derive(Args)]
pub struct SetArguments {
    /// Path of the node.
    node: String,
    /// FIELD=VALUE, with values as in a settings file; quotes around strings may be omitted.
    #[arg(required = true)]
    fields: Vec<String>,
    /// Identifier of the edit, to retry an edit with an unknown outcome.
    #[arg(long)]
    id: Option<String>,
    #[command(flatten)]
    target: Target,
}

/// Flags of `settings apply` and `settings diff`.
#[derive(Args)]
pub struct FileArguments {
    /// Settings file.
    file: PathBuf,
    /// Identifier of the edit, to retry an edit with an unknown outcome.
    #[arg(long)]
    id: Option<String>,
    #[command(flatten)]
    target: Target,
}

/// Flags of `settings history`.
#[derive(Args)]
pub struct HistoryArguments {
    #[command(flatten)]
    target: Target,
}

/// Runs a `settings` subcommand.
pub fn run(command: SettingsCommand) -> anyhow::Result<ExitCode> {
    match command {
        SettingsCommand::Get(arguments) => get(&arguments),
        SettingsCommand::Set(arguments) => set(&arguments),
        SettingsCommand::Apply(arguments) => apply(&arguments),
        SettingsCommand::Diff(arguments) => diff(&arguments),
        SettingsCommand::History(arguments) => history(&arguments),
    }
}

fn current(target: &Target) -> anyhow::Result<SettingsObject> {
    target.get(SETTINGS_PATH)
}

fn get(arguments: &GetArguments) -> anyhow::Result<ExitCode> {
    let object = current(&arguments.target)?;
    let paths: Vec<NodePath> = match &arguments.node {
        Some(node) => vec![parse_path(node)?],
        None => object.tree.nodes.keys().cloned().collect(),
    };
    for path in paths {
        let known = object.tree.nodes.contains_key(&path);
        anyhow::ensure!(known, "there is no node {path}");
        print_node(&object.tree, &path, arguments)?;
    }
    Ok(ExitCode::SUCCESS)
}

fn print_node(tree: &Tree, path: &NodePath, arguments: &GetArguments) -> anyhow::Result<()> {
    if arguments.target.json {
        let node = if arguments.resolved {
            serde_json::to_value(tree.resolve_all(path))?
        } else {
            serde_json::to_value(&tree.nodes[path])?
        };
        println!("{}", serde_json::json!({ "node": path, "fields": node }));
        return Ok(());
    }
    println!("[\"{path}\"]");
    if arguments.resolved {
        for (name, resolved) in tree.resolve_all(path) {
            let from = resolved.from.map_or("default".to_owned(), |node| node.to_string());
            println!("{name} = {}  # {from}", resolved.value);
        }
    } else {
        for (name, value) in &tree.nodes[path] {
            println!("{name} = {value}");
        }
    }
    Ok(())
}

fn set(arguments: &SetArguments) -> anyhow::Result<ExitCode> {
    let object = current(&arguments.target)?;
    let path = parse_path(&arguments.node)?;
    let base = object.tree.nodes.get(&path).cloned();
    let mut tree = object.tree.clone();
    let mut edit = None;
    for field in &arguments.fields {
        let (name, value) =
            field.split_once('=').with_context(|| format!("{field:?} is not FIELD=VALUE"))?;
        let value = (!value.is_empty()).then(|| parse_value(value));
        let next = set_field(&tree, &path, name, value);
        tree.nodes.insert(path.clone(), next.fields.clone().unwrap_or_default());
        edit = next.fields;
    }
    let edits = vec![NodeEdit { node: path, base, fields: edit }];
    send(&arguments.target, arguments.id.as_deref(), edits)
}

fn apply(arguments: &FileArguments) -> anyhow::Result<ExitCode> {
    let Some(edits) = edits_to_file(arguments)? else {
        return Ok(ExitCode::from(EXIT_FINDINGS));
    };
    if edits.is_empty() {
        println!("nothing to change");
        return Ok(ExitCode::SUCCESS);
    }
    send(&arguments.target, arguments.id.as_deref(), edits)
}

/// Returns the edits that make the active settings equal to a file.
///
/// If the file has findings, prints them and returns `None`.
fn edits_to_file(arguments: &FileArguments) -> anyhow::Result<Option<Vec<NodeEdit>>> {
    match read_tree(&arguments.file)? {
        Ok(wanted) => Ok(Some(differences(&current(&arguments.target)?.tree, &wanted))),
        Err(findings) => {
            eprintln!("{findings}");
            Ok(None)
        }
    }
}

fn diff(arguments: &FileArguments) -> anyhow::Result<ExitCode> {
    let Some(edits) = edits_to_file(arguments)? else {
        return Ok(ExitCode::from(EXIT_FINDINGS));
    };
    if arguments.target.json {
        println!("{}", serde_json::to_string_pretty(&edits)?);
        return Ok(ExitCode::SUCCESS);
    }
    for edit in edits {
        println!("[\"{}\"]", edit.node);
        let base = edit.base.unwrap_or_default();
        let fields = edit.fields.unwrap_or_default();
        for (name, value) in &base {
            if fields.get(name) != Some(value) {
                println!("- {name} = {value}");
            }
        }
        for (name, value) in &fields {
            if base.get(name) != Some(value) {
                println!("+ {name} = {value}");
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn history(arguments: &HistoryArguments) -> anyhow::Result<ExitCode> {
    let object = current(&arguments.target)?;
    if arguments.target.json {
        println!("{}", serde_json::to_string_pretty(&object.edits)?);
        return Ok(ExitCode::SUCCESS);
    }
    for edit in &object.edits {
        let nodes: Vec<_> = edit.nodes.iter().map(NodePath::as_str).collect();
        println!("{:>6} {} {}", edit.revision, edit.id, nodes.join(" "));
    }
    Ok(ExitCode::SUCCESS)
}

/// Returns the edits that turn one tree into another.
fn differences(from: &Tree, to: &Tree) -> Vec<NodeEdit> {
    let mut paths: Vec<&NodePath> = from.nodes.keys().chain(to.nodes.keys()).collect();
    paths.sort();
    paths.dedup();
    paths
        .into_iter()
        .filter(|path| from.nodes.get(path) != to.nodes.get(path))
        .map(|path| NodeEdit {
            node: path.clone(),
            base: from.nodes.get(path).cloned(),
            fields: to.nodes.get(path).cloned(),
        })
        .collect()
}

fn send(target: &Target, id: Option<&str>, edits: Vec<NodeEdit>) -> anyhow::Result<ExitCode> {
    let id = id.map_or_else(|| format!("{:016x}", rand::rng().random::<u64>()), str::to_owned);
    let request = EditRequest { id: id.clone(), edits };
    let (status, bytes) = target.post(SETTINGS_PATH, &request)?;
    if status.is_success() {
        let accepted: EditAccepted = serde_json::from_slice(&bytes)?;
        if target.json {
            println!("{}", serde_json::to_string(&accepted)?);
        } else {
            println!("revision {}", accepted.revision);
        }
        return Ok(ExitCode::SUCCESS);
    }
    let error: EditError = serde_json::from_slice(&bytes)
        .with_context(|| format!("status {status}: {}", String::from_utf8_lossy(&bytes)))?;
    if target.json {
        println!("{}", serde_json::to_string(&error)?);
    }
    eprintln!("{error}");
    Ok(ExitCode::from(match error {
        EditError::Conflict(EditConflict::Invalid(_)) => EXIT_FINDINGS,
        EditError::Conflict(EditConflict::SameNode { .. }) => EXIT_CONFLICT,
        EditError::StoreDown => EXIT_FAILED,
        EditError::Unknown => {
            eprintln!("retry with --id {id}");
            EXIT_UNKNOWN
        }
    }))
}

fn parse_path(text: &str) -> anyhow::Result<NodePath> {
    NodePath::parse(text).map_err(|message| anyhow::anyhow!("{text}: {message}"))
}

/// Parses a value as in a settings file; anything that is not valid TOML is taken as a string.
fn parse_value(text: &str) -> RawValue {
    let parsed: Result<toml::Table, _> = format!("value = {text}").parse();
    let value = parsed.ok().and_then(|mut table| table.remove("value"));
    let as_raw = value.and_then(|value| value.try_into().ok());
    as_raw.unwrap_or_else(|| RawValue::Text(text.to_owned()))
}

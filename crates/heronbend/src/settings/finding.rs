//! Mistakes found in a settings tree, each with its place.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One mistake and where it stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// The file, or where else the tree was read from.
    pub file: String,
    /// Path of the node; empty when the file as a whole could not be read.
    pub node: String,
    /// Name of the field; empty when the node as a whole is meant.
    pub field: String,
    /// What is wrong, and what would be right.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let places = [&self.file, &self.node, &self.field];
        for place in places.into_iter().filter(|place| !place.is_empty()) {
            write!(formatter, "{place}: ")?;
        }
        formatter.write_str(&self.message)
    }
}

/// All mistakes of one reading, in the order of the tree.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(transparent)]
pub struct Findings(pub Vec<Finding>);

impl fmt::Display for Findings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(Finding::to_string).collect();
        formatter.write_str(&lines.join("\n"))
    }
}

/// Collects findings of one file.
#[derive(Debug)]
pub struct Collector {
    file: String,
    findings: Vec<Finding>,
}

impl Collector {
    /// A collector for the file of this name.
    pub fn new(file: &str) -> Self {
        Self { file: file.to_owned(), findings: Vec::new() }
    }

    /// Adds a finding.
    pub fn add(&mut self, node: &str, field: &str, message: impl Into<String>) {
        self.findings.push(Finding {
            file: self.file.clone(),
            node: node.to_owned(),
            field: field.to_owned(),
            message: message.into(),
        });
    }

    /// `value` when nothing was found, all findings otherwise.
    pub fn finish<T>(self, value: T) -> Result<T, Findings> {
        if self.findings.is_empty() {
            Ok(value)
        } else {
            Err(Findings(self.findings))
        }
    }
}

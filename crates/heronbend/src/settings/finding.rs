//! Validation errors of a settings tree, with their locations.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A validation error and its location.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Name of the file or other source of the tree.
    pub file: String,
    /// Path of the node; empty if the file could not be parsed.
    pub node: String,
    /// Name of the field; empty if the error concerns the whole node.
    pub field: String,
    /// Description of the error and of what is expected.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let location = [&self.file, &self.node, &self.field];
        for part in location.into_iter().filter(|part| !part.is_empty()) {
            write!(formatter, "{part}: ")?;
        }
        formatter.write_str(&self.message)
    }
}

/// All validation errors of a tree.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(transparent)]
pub struct Findings(pub Vec<Finding>);

impl fmt::Display for Findings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(Finding::to_string).collect();
        formatter.write_str(&lines.join("\n"))
    }
}

/// Collects the findings for one source.
#[derive(Debug)]
pub struct Collector {
    file: String,
    findings: Vec<Finding>,
}

impl Collector {
    /// Creates a collector for the source named `file`.
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

    /// Returns `value` if there are no findings, otherwise all findings.
    pub fn finish<T>(self, value: T) -> Result<T, Findings> {
        if self.findings.is_empty() {
            Ok(value)
        } else {
            Err(Findings(self.findings))
        }
    }
}

//! The stored settings tree with its revision, and edits to it.
//!
//! Edits are applied by compare-and-swap of a single object. The object contains the identifiers of
//! the latest edits, so that a client that received no response can find out whether its edit was
//! applied.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::finding::Findings;
use super::tree::{Fields, NodePath, RawValue, Tree};

/// Number of edit identifiers retained in the object, so that a lost response can still be resolved
/// after later edits.
const MAX_RETAINED_EDITS: usize = 32;

/// The settings as stored in the object API.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SettingsObject {
    /// Revision of the tree, incremented by each accepted edit.
    pub revision: u64,
    /// The latest edits, oldest first.
    pub edits: Vec<EditRecord>,
    /// The tree at this revision.
    pub tree: Tree,
}

/// An accepted edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditRecord {
    /// Identifier chosen by the client.
    pub id: String,
    /// Revision that the edit created.
    pub revision: u64,
    /// Nodes changed by the edit.
    pub nodes: Vec<NodePath>,
}

/// A change to one node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeEdit {
    /// Path of the node.
    pub node: NodePath,
    /// Fields on which the edit is based; `None` if the node did not exist.
    pub base: Option<Fields>,
    /// New fields; `None` removes the node.
    pub fields: Option<Fields>,
}

/// Reason why an edit was rejected. The settings are left unchanged.
#[derive(Debug, Clone, PartialEq, Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EditConflict {
    /// The node was changed concurrently.
    #[error("node {node} was changed meanwhile: it is now {current:?}, the edit wants {wanted:?}")]
    SameNode {
        /// Path of the node.
        node: NodePath,
        /// Current fields of the node.
        current: Option<Fields>,
        /// Fields requested by the rejected edit.
        wanted: Option<Fields>,
    },
    /// The resulting tree is invalid.
    #[error("{0}")]
    Invalid(Findings),
}

impl SettingsObject {
    /// Returns the object with the edits applied under the identifier `id`, or unchanged if that
    /// was applied before.
    pub fn apply(&self, id: &str, edits: &[NodeEdit], origin: &str) -> Result<Self, EditConflict> {
        if self.contains_edit(id) {
            return Ok(self.clone());
        }
        let mut next = self.clone();
        for edit in edits {
            let current = self.tree.nodes.get(&edit.node);
            if current != edit.base.as_ref() && current != edit.fields.as_ref() {
                return Err(EditConflict::SameNode {
                    node: edit.node.clone(),
                    current: current.cloned(),
                    wanted: edit.fields.clone(),
                });
            }
            match &edit.fields {
                Some(fields) => next.tree.nodes.insert(edit.node.clone(), fields.clone()),
                None => next.tree.nodes.remove(&edit.node),
            };
        }
        next.tree.validate(origin).map_err(EditConflict::Invalid)?;
        next.revision += 1;
        next.edits.push(EditRecord {
            id: id.to_owned(),
            revision: next.revision,
            nodes: edits.iter().map(|edit| edit.node.clone()).collect(),
        });
        let excess = next.edits.len().saturating_sub(MAX_RETAINED_EDITS);
        next.edits.drain(..excess);
        Ok(next)
    }

    /// Returns whether the edit with this identifier is among the retained ones.
    pub fn contains_edit(&self, id: &str) -> bool {
        self.edits.iter().any(|edit| edit.id == id)
    }
}

/// Returns an edit, based on `tree`, that sets a field of a node, or removes it if `value` is
/// `None`.
pub fn set_field(tree: &Tree, node: &NodePath, field: &str, value: Option<RawValue>) -> NodeEdit {
    let base = tree.nodes.get(node).cloned();
    let mut fields = base.clone().unwrap_or_default();
    match value {
        Some(value) => fields.insert(field.to_owned(), value),
        None => fields.remove(field),
    };
    NodeEdit { node: node.clone(), base, fields: Some(fields) }
}

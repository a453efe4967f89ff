//! The stored tree with its revision, and edits to it.
//!
//! An edit is accepted by compare-and-swap of one object. The object carries the identifier of the
//! edit that made it, so that an editor whose answer was lost can read back whether its edit won.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::finding::Findings;
use super::tree::{Fields, NodePath, RawValue, Tree};

/// Edits remembered in the object, so that a lost answer can still be resolved after later edits.
const REMEMBERED_EDITS: usize = 32;

/// What the object API holds.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SettingsObject {
    /// Counts accepted edits; never decreases.
    pub revision: u64,
    /// Identifiers of the latest edits, newest last.
    pub edits: Vec<EditRecord>,
    /// The tree in force at this revision.
    pub tree: Tree,
}

/// An accepted edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditRecord {
    /// Identifier chosen by the editor.
    pub id: String,
    /// Revision that the edit made.
    pub revision: u64,
    /// Nodes that it changed.
    pub nodes: Vec<NodePath>,
}

/// A change of one node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeEdit {
    /// The node.
    pub node: NodePath,
    /// Its fields as the editor saw them; `None` when it did not exist.
    pub base: Option<Fields>,
    /// Its fields as they are to be; `None` removes it.
    pub fields: Option<Fields>,
}

/// Why an edit was not accepted; the settings are unchanged.
#[derive(Debug, Clone, PartialEq, Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EditConflict {
    /// Somebody else changed the same node meanwhile.
    #[error("node {node} was changed meanwhile: it is now {current:?}, the edit wants {wanted:?}")]
    SameNode {
        /// The node.
        node: NodePath,
        /// Its fields now.
        current: Option<Fields>,
        /// Its fields as the refused edit wants them.
        wanted: Option<Fields>,
    },
    /// The tree would not be valid.
    #[error("{0}")]
    Invalid(Findings),
}

impl SettingsObject {
    /// The object after an edit. An edit that is already in is not applied again.
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
        let surplus = next.edits.len().saturating_sub(REMEMBERED_EDITS);
        next.edits.drain(..surplus);
        Ok(next)
    }

    /// Whether the edit of this identifier is among the remembered ones.
    pub fn contains_edit(&self, id: &str) -> bool {
        self.edits.iter().any(|edit| edit.id == id)
    }
}

/// The edit that sets one field of a node, as seen in `tree`.
pub fn set_field(tree: &Tree, node: &NodePath, field: &str, value: Option<RawValue>) -> NodeEdit {
    let base = tree.nodes.get(node).cloned();
    let mut fields = base.clone().unwrap_or_default();
    match value {
        Some(value) => fields.insert(field.to_owned(), value),
        None => fields.remove(field),
    };
    NodeEdit { node: node.clone(), base, fields: Some(fields) }
}

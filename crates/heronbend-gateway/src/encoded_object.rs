//! Objects of the store as texts: as they travel between daemons, and as a daemon keeps those that others
//! may ask it for.
//!
//! A parsed entry of a server takes some 4 KB, its text a tenth of that. A daemon that keeps the entries
//! of ten thousand servers for others needs the texts alone.

use musli::Decode;
use musli::Encode;
use serde_json::Value;

use crate::ports::Object;
use crate::ports::Revision;
use crate::ports::StoreError;

/// An object whose content and status are JSON texts.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct EncodedObject {
    /// Name, unique within its kind.
    pub name: String,
    /// Revision of its last change.
    pub revision: Revision,
    content: String,
    status: String,
}

impl From<&Object> for EncodedObject {
    fn from(object: &Object) -> Self {
        Self {
            name: object.name.clone(),
            revision: object.revision,
            content: exact_text(&object.content),
            status: exact_text(&object.status),
        }
    }
}

/// A value as a text that takes no more memory than its bytes: one that grows as it is written takes up
/// to twice as much, and is kept for each server for as long as it is listed.
fn exact_text(value: &Value) -> String {
    let mut text = value.to_string();
    text.shrink_to_fit();
    text
}

impl EncodedObject {
    /// Bytes of its name and its texts.
    pub fn bytes(&self) -> usize {
        self.name.len() + self.content.len() + self.status.len()
    }

    /// The object; an error where its texts are not JSON.
    pub fn decode(&self) -> Result<Object, StoreError> {
        let parse = |text: &str| {
            serde_json::from_str(text).map_err(|error| StoreError::Malformed(error.to_string()))
        };
        Ok(Object {
            content: parse(&self.content)?,
            status: parse(&self.status)?,
            name: self.name.clone(),
            revision: self.revision,
        })
    }
}

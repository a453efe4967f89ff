//! Serialized store objects, as exchanged between daemons and kept in replicas.
//!
//! A serialized object takes about a tenth of the memory of the parsed one, which matters in
//! replicas of many thousand servers.

use musli::Decode;
use musli::Encode;
use serde_json::Value;

use crate::ports::Object;
use crate::ports::Revision;
use crate::ports::StoreError;

/// An object whose content and status are serialized JSON.
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

/// Serializes a value without spare capacity, since the text may be kept for a long time.
fn exact_text(value: &Value) -> String {
    let mut text = value.to_string();
    text.shrink_to_fit();
    text
}

impl EncodedObject {
    /// Size of the name, content and status, in bytes.
    pub fn bytes(&self) -> usize {
        self.name.len() + self.content.len() + self.status.len()
    }

    /// Parses the object.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Malformed`] if the content or the status is not valid JSON.
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

//! Interface of a store for small objects, with compare-and-swap and watches.

use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use serde_json::Value;
use thiserror::Error;

use crate::encoded_object::EncodedObject;

/// Store-wide change counter. Increases with every change.
pub type Revision = u64;

/// An object at one revision.
#[derive(Debug, Clone, PartialEq)]
pub struct Object {
    /// Name, unique within its kind.
    pub name: String,
    /// Revision of the last change.
    pub revision: Revision,
    /// Content written by the owner.
    pub content: Value,
    /// Status reported by the system, or null.
    pub status: Value,
}

/// A page of the objects of a kind, ordered by name.
#[derive(Debug, Clone, PartialEq)]
pub struct Listing {
    /// The objects.
    pub objects: Vec<Object>,
    /// Last name on the page, also if its object is malformed; the next page follows it.
    pub last_name: Option<String>,
    /// Whether more objects follow.
    pub more: bool,
    /// Revision at which the page was read.
    pub at: Revision,
}

/// A change of an object. Objects stay encoded until they are used, since thousands of changes may
/// arrive at once.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// The object was created or replaced.
    Set(Rc<EncodedObject>),
    /// The object with this name was removed.
    Removed(String),
}

/// Changes of a kind since a revision.
#[derive(Debug, Clone, PartialEq)]
pub struct Changes {
    /// The changes in order; may be empty.
    pub changes: Vec<Change>,
    /// Revision to continue from.
    pub at: Revision,
}

/// Condition of a write on the state of the object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The object is at exactly this revision.
    At(Revision),
    /// No condition.
    Any,
}

/// Error of a call to the store.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum StoreError {
    /// The call had no effect and never will; it may be retried.
    #[error("nothing was done: {0}")]
    NotDone(String),
    /// The call may have had an effect, or may still have one while its condition holds.
    #[error("the outcome is unknown: {0}")]
    Unknown(String),
    /// The condition did not hold. Has the current object if the store returns it.
    #[error("the object is in another state")]
    Conflict(Option<Box<Object>>),
    /// The object does not exist.
    #[error("there is no such object")]
    NotFound,
    /// The store is rejecting calls; the call had no effect.
    #[error("the store is refusing calls")]
    Throttled,
    /// The history since the given revision is gone; list the objects again.
    #[error("the history is gone")]
    HistoryGone,
    /// The response could not be parsed.
    #[error("the answer is malformed: {0}")]
    Malformed(String),
}

impl StoreError {
    /// Whether the call had no effect and never will.
    pub fn is_not_done(&self) -> bool {
        !matches!(self, Self::Unknown(_) | Self::Malformed(_))
    }
}

/// An object store. Reads are linearizable, and acknowledged writes are durable.
#[async_trait(?Send)]
pub trait ObjectStore {
    /// Lists the objects of a kind whose names follow `after`.
    async fn list(&self, kind: &str, after: Option<&str>) -> Result<Listing, StoreError>;

    /// Reads an object. Returns `None` if it does not exist.
    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError>;

    /// Waits up to `wait` for changes of a kind after `since`.
    async fn watch(
        &self,
        kind: &str,
        since: Revision,
        wait: Duration,
    ) -> Result<Changes, StoreError>;

    /// Creates an object. Fails with a conflict if the name exists.
    async fn create(&self, kind: &str, name: &str, content: Value) -> Result<Object, StoreError>;

    /// Replaces the content of an object.
    async fn replace(
        &self,
        kind: &str,
        name: &str,
        content: Value,
        condition: Condition,
    ) -> Result<Object, StoreError>;

    /// Replaces the status of an object.
    async fn replace_status(
        &self,
        kind: &str,
        name: &str,
        status: Value,
        condition: Condition,
    ) -> Result<Object, StoreError>;

    /// Makes a minimal call to check that the store responds. May read stale data.
    async fn probe(&self) -> Result<(), StoreError>;

    /// Removes an object. Succeeds if it does not exist.
    async fn remove(&self, kind: &str, name: &str) -> Result<(), StoreError>;
}

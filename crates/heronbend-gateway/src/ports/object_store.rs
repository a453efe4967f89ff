//! A store of small objects with compare-and-swap and watches.

use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use serde_json::Value;
use thiserror::Error;

use crate::encoded_object::EncodedObject;

/// The store's counter of changes; larger for a later change.
pub type Revision = u64;

/// An object as it was at one revision.
#[derive(Debug, Clone, PartialEq)]
pub struct Object {
    /// Name, unique within its kind.
    pub name: String,
    /// Revision of its last change.
    pub revision: Revision,
    /// What its owner wrote.
    pub content: Value,
    /// What the system reported about it; null when nothing was.
    pub status: Value,
}

/// One page of the objects of a kind, ordered by name.
#[derive(Debug, Clone, PartialEq)]
pub struct Listing {
    /// The objects.
    pub objects: Vec<Object>,
    /// Whether further objects follow the last one.
    pub more: bool,
    /// Revision at which the page was read.
    pub at: Revision,
}

/// What happened to an object. Whoever takes changes in parses one at a time: thousands may come at once.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// It was made or replaced.
    Set(Rc<EncodedObject>),
    /// It was removed; its name.
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

/// Which state of an object a write applies to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The object is at this very revision.
    At(Revision),
    /// Whatever its revision.
    Any,
}

/// Why a call to the store has no result.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum StoreError {
    /// Nothing was done, and nothing will be; a repeat is safe.
    #[error("nothing was done: {0}")]
    NotDone(String),
    /// The call may have been done, or may be done later while its condition holds.
    #[error("the outcome is unknown: {0}")]
    Unknown(String),
    /// The condition did not hold; the object as it is, where the store tells it.
    #[error("the object is in another state")]
    Conflict(Option<Box<Object>>),
    /// There is no such object.
    #[error("there is no such object")]
    NotFound,
    /// The store refuses calls for the moment; nothing was done.
    #[error("the store is refusing calls")]
    Throttled,
    /// The history from the given revision on is gone: list anew.
    #[error("the history is gone")]
    HistoryGone,
    /// The answer cannot be understood.
    #[error("the answer is malformed: {0}")]
    Malformed(String),
}

impl StoreError {
    /// Whether the call certainly had no effect and never will.
    pub fn is_not_done(&self) -> bool {
        !matches!(self, Self::Unknown(_) | Self::Malformed(_))
    }
}

/// The store. Reads are linearizable; what a write acknowledged is never lost.
#[async_trait(?Send)]
pub trait ObjectStore {
    /// Lists the objects of a kind whose names follow `after`.
    async fn list(&self, kind: &str, after: Option<&str>) -> Result<Listing, StoreError>;

    /// Reads one object.
    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError>;

    /// Waits up to `wait` for changes of a kind that follow `since`.
    async fn watch(
        &self,
        kind: &str,
        since: Revision,
        wait: Duration,
    ) -> Result<Changes, StoreError>;

    /// Makes an object; a conflict when its name is taken.
    async fn create(&self, kind: &str, name: &str, content: Value) -> Result<Object, StoreError>;

    /// Replaces an object's content.
    async fn replace(
        &self,
        kind: &str,
        name: &str,
        content: Value,
        condition: Condition,
    ) -> Result<Object, StoreError>;

    /// Replaces an object's status.
    async fn replace_status(
        &self,
        kind: &str,
        name: &str,
        status: Value,
        condition: Condition,
    ) -> Result<Object, StoreError>;

    /// Asks for as little as possible, to learn whether the store answers. What it answers may be
    /// out of date.
    async fn probe(&self) -> Result<(), StoreError>;

    /// Removes an object; no error when there is none.
    async fn remove(&self, kind: &str, name: &str) -> Result<(), StoreError>;
}

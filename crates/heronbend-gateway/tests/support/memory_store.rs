//! An in-memory object store with fault injection.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use heronbend_gateway::ports::{
    Change, Changes, Condition, Listing, Object, ObjectStore, Revision, StoreError,
};
use serde_json::Value;
use smol::Timer;

/// A fault injected into a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteFault {
    /// The write is rejected without effect.
    Rejected,
    /// The write takes effect, but its response is lost.
    ResponseLost,
    /// The response is lost, and the write takes effect only at
    /// [`MemoryStore::apply_delayed_writes`].
    Delayed,
}

/// A fault injected into a watch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchFault {
    /// The watch fails.
    Interrupted,
    /// The watch hangs and never returns.
    Hanging,
}

type Key = (String, String);
/// Kind, name, content and, unless it is a creation, condition.
type DelayedWrite = (String, String, Value, Option<Condition>);

/// An in-memory [`ObjectStore`] that injects the queued faults.
#[derive(Default)]
pub struct MemoryStore {
    objects: RefCell<BTreeMap<Key, Object>>,
    history: RefCell<Vec<(Revision, String, Change)>>,
    revision: Cell<Revision>,
    compacted_at: Cell<Revision>,
    write_faults: RefCell<VecDeque<WriteFault>>,
    watch_faults: RefCell<VecDeque<WatchFault>>,
    delayed: RefCell<Vec<DelayedWrite>>,
    down: Cell<bool>,
    changes_suppressed: Cell<bool>,
    /// Delay of the response to a creation.
    response_delay: Cell<Duration>,
    /// Number of calls so far.
    pub calls: Cell<u64>,
}

impl MemoryStore {
    /// Queues faults for the next writes.
    pub fn fail_writes(&self, faults: &[WriteFault]) {
        self.write_faults.borrow_mut().extend(faults);
    }

    /// Queues faults for the next watches.
    pub fn fail_watches(&self, faults: &[WatchFault]) {
        self.watch_faults.borrow_mut().extend(faults);
    }

    /// Delays the response to creations.
    pub fn delay_responses(&self, delay: Duration) {
        self.response_delay.set(delay);
    }

    /// Makes all calls fail while `down` is set.
    pub fn set_down(&self, down: bool) {
        self.down.set(down);
    }

    /// Compacts the history up to the current revision and resumes watch notifications. Pending
    /// watches are not woken.
    pub fn compact_history(&self) {
        self.compacted_at.set(self.revision.get());
        self.history.borrow_mut().clear();
        self.changes_suppressed.set(false);
    }

    /// Stops watches from returning changes until [`Self::compact_history`].
    pub fn suppress_changes(&self) {
        self.changes_suppressed.set(true);
    }

    pub fn object(&self, kind: &str, name: &str) -> Option<Object> {
        self.objects.borrow().get(&(kind.to_owned(), name.to_owned())).cloned()
    }

    /// Sets an object, bypassing injected faults.
    pub fn put(&self, kind: &str, name: &str, content: Value) {
        self.set(kind, name, content, Value::Null);
    }

    /// Removes the queued write faults.
    pub fn clear_faults(&self) {
        self.write_faults.borrow_mut().clear();
    }

    /// Number of delayed writes that have not been applied.
    pub fn delayed_writes(&self) -> usize {
        self.delayed.borrow().len()
    }

    /// Applies the delayed writes.
    pub fn apply_delayed_writes(&self) {
        for (kind, name, content, condition) in self.delayed.take() {
            // A write whose condition no longer holds has no effect.
            let _ = match condition {
                None => self.create_object(&kind, &name, content),
                Some(condition) => self.replace_object(&kind, &name, content, condition),
            };
        }
    }

    fn set(&self, kind: &str, name: &str, content: Value, status: Value) -> Object {
        let revision = self.revision.get() + 1;
        self.revision.set(revision);
        let object = Object { name: name.to_owned(), revision, content, status };
        self.objects.borrow_mut().insert((kind.to_owned(), name.to_owned()), object.clone());
        let change = Change::Set(Rc::new((&object).into()));
        self.history.borrow_mut().push((revision, kind.to_owned(), change));
        object
    }

    fn create_object(&self, kind: &str, name: &str, content: Value) -> Result<Object, StoreError> {
        match self.object(kind, name) {
            Some(object) => Err(StoreError::Conflict(Some(Box::new(object)))),
            None => Ok(self.set(kind, name, content, Value::Null)),
        }
    }

    fn replace_object(
        &self,
        kind: &str,
        name: &str,
        content: Value,
        condition: Condition,
    ) -> Result<Object, StoreError> {
        let object = self.object(kind, name).ok_or(StoreError::NotFound)?;
        match condition {
            Condition::At(revision) if revision != object.revision => {
                Err(StoreError::Conflict(Some(Box::new(object))))
            }
            _ if object.content == content => Ok(object),
            _ => Ok(self.set(kind, name, content, object.status)),
        }
    }

    /// Applies a write, subject to the next queued fault.
    fn write(
        &self,
        kind: &str,
        name: &str,
        content: Value,
        condition: Option<Condition>,
    ) -> Result<Object, StoreError> {
        self.check_available()?;
        let response_lost = || StoreError::Unknown("response lost".to_owned());
        let fault = self.write_faults.borrow_mut().pop_front();
        if fault == Some(WriteFault::Rejected) {
            return Err(StoreError::NotDone("rejected".to_owned()));
        }
        if fault == Some(WriteFault::Delayed) {
            let delayed_write = (kind.to_owned(), name.to_owned(), content, condition);
            self.delayed.borrow_mut().push(delayed_write);
            return Err(response_lost());
        }
        let written = match condition {
            None => self.create_object(kind, name, content),
            Some(condition) => self.replace_object(kind, name, content, condition),
        };
        if fault == Some(WriteFault::ResponseLost) {
            Err(response_lost())
        } else {
            written
        }
    }

    fn check_available(&self) -> Result<(), StoreError> {
        self.calls.set(self.calls.get() + 1);
        if self.down.get() {
            return Err(StoreError::NotDone("down".to_owned()));
        }
        Ok(())
    }

    fn changes_since(&self, kind: &str, since: Revision) -> Vec<Change> {
        let history = self.history.borrow();
        let matching = history
            .iter()
            .filter(|(revision, changed_kind, _)| *revision > since && changed_kind == kind);
        matching.map(|(_, _, change)| change.clone()).collect()
    }
}

#[async_trait(?Send)]
impl ObjectStore for MemoryStore {
    async fn list(&self, kind: &str, after: Option<&str>) -> Result<Listing, StoreError> {
        self.check_available()?;
        let objects = self.objects.borrow();
        let listed = objects.iter().filter(|((object_kind, name), _)| {
            object_kind == kind && after.is_none_or(|after| name.as_str() > after)
        });
        Ok(Listing {
            objects: listed.map(|(_, object)| object.clone()).collect(),
            last_name: None,
            more: false,
            at: self.revision.get(),
        })
    }

    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
        self.check_available()?;
        Ok(self.object(kind, name))
    }

    async fn watch(
        &self,
        kind: &str,
        since: Revision,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        self.check_available()?;
        let fault = self.watch_faults.borrow_mut().pop_front();
        if fault == Some(WatchFault::Interrupted) {
            return Err(StoreError::Unknown("interrupted".to_owned()));
        }
        if fault == Some(WatchFault::Hanging) {
            futures_lite::future::pending::<()>().await;
        }
        if since < self.compacted_at.get() {
            return Err(StoreError::HistoryGone);
        }
        let poll_interval = Duration::from_millis(5);
        for _ in 0..wait.as_millis() / poll_interval.as_millis() {
            let changes = self.changes_since(kind, since);
            if !changes.is_empty() && !self.changes_suppressed.get() {
                if since < self.compacted_at.get() {
                    return Err(StoreError::HistoryGone);
                }
                return Ok(Changes { changes, at: self.revision.get() });
            }
            Timer::after(poll_interval).await;
        }
        Ok(Changes { changes: Vec::new(), at: self.revision.get() })
    }

    async fn create(&self, kind: &str, name: &str, content: Value) -> Result<Object, StoreError> {
        let created = self.write(kind, name, content, None);
        Timer::after(self.response_delay.get()).await;
        created
    }

    async fn replace(
        &self,
        kind: &str,
        name: &str,
        content: Value,
        condition: Condition,
    ) -> Result<Object, StoreError> {
        self.write(kind, name, content, Some(condition))
    }

    async fn replace_status(
        &self,
        kind: &str,
        name: &str,
        status: Value,
        _condition: Condition,
    ) -> Result<Object, StoreError> {
        self.check_available()?;
        let object = self.object(kind, name).ok_or(StoreError::NotFound)?;
        Ok(self.set(kind, name, object.content, status))
    }

    async fn probe(&self) -> Result<(), StoreError> {
        self.check_available()
    }

    async fn remove(&self, kind: &str, name: &str) -> Result<(), StoreError> {
        self.check_available()?;
        self.objects.borrow_mut().remove(&(kind.to_owned(), name.to_owned()));
        Ok(())
    }
}

//! A store in memory, with faults.

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

/// What happens to the next writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteFault {
    /// Nothing is done.
    Refused,
    /// It is done, and the answer is lost.
    AnswerLost,
    /// It is not done now; [`MemoryStore::do_late_writes`] does it.
    Late,
}

/// What happens to the next watches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchFault {
    /// It is cut.
    Cut,
    /// It waits and hears nothing, whatever changes.
    Deaf,
}

type Key = (String, String);
/// Kind, name, content, and the condition unless the object is to be made.
type LateWrite = (String, String, Value, Option<Condition>);

#[derive(Default)]
pub struct MemoryStore {
    objects: RefCell<BTreeMap<Key, Object>>,
    history: RefCell<Vec<(Revision, String, Change)>>,
    revision: Cell<Revision>,
    floor: Cell<Revision>,
    write_faults: RefCell<VecDeque<WriteFault>>,
    watch_faults: RefCell<VecDeque<WatchFault>>,
    late: RefCell<Vec<LateWrite>>,
    down: Cell<bool>,
    muted: Cell<bool>,
    /// Time after which it is answered that an object was made.
    answer_delay: Cell<Duration>,
    pub calls: Cell<u64>,
}

impl MemoryStore {
    pub fn fail_writes(&self, faults: &[WriteFault]) {
        self.write_faults.borrow_mut().extend(faults);
    }

    pub fn fail_watches(&self, faults: &[WatchFault]) {
        self.watch_faults.borrow_mut().extend(faults);
    }

    pub fn delay_answers(&self, delay: Duration) {
        self.answer_delay.set(delay);
    }

    pub fn set_down(&self, down: bool) {
        self.down.set(down);
    }

    /// Forgets the history and ends a time in which watches hear nothing. Those that wait already
    /// are not told.
    pub fn drop_history(&self) {
        self.floor.set(self.revision.get());
        self.history.borrow_mut().clear();
        self.muted.set(false);
    }

    /// From now on watches hear nothing.
    pub fn mute_watches(&self) {
        self.muted.set(true);
    }

    pub fn object(&self, kind: &str, name: &str) -> Option<Object> {
        self.objects.borrow().get(&(kind.to_owned(), name.to_owned())).cloned()
    }

    /// Writes as an operator does, past all faults.
    pub fn put(&self, kind: &str, name: &str, content: Value) {
        self.set(kind, name, content, Value::Null);
    }

    pub fn clear_faults(&self) {
        self.write_faults.borrow_mut().clear();
    }

    /// Writes that are still to be done.
    pub fn late_writes(&self) -> usize {
        self.late.borrow().len()
    }

    pub fn do_late_writes(&self) {
        for (kind, name, content, condition) in self.late.take() {
            // One whose condition does not hold any more has no effect.
            let _ = match condition {
                None => self.make(&kind, &name, content),
                Some(condition) => self.change(&kind, &name, content, condition),
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

    fn make(&self, kind: &str, name: &str, content: Value) -> Result<Object, StoreError> {
        match self.object(kind, name) {
            Some(object) => Err(StoreError::Conflict(Some(Box::new(object)))),
            None => Ok(self.set(kind, name, content, Value::Null)),
        }
    }

    fn change(
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

    /// Applies a write or the fault that is due.
    fn write(
        &self,
        kind: &str,
        name: &str,
        content: Value,
        condition: Option<Condition>,
    ) -> Result<Object, StoreError> {
        self.reach()?;
        let lost = || StoreError::Unknown("the answer is lost".to_owned());
        let fault = self.write_faults.borrow_mut().pop_front();
        if fault == Some(WriteFault::Refused) {
            return Err(StoreError::NotDone("refused".to_owned()));
        }
        if fault == Some(WriteFault::Late) {
            let late = (kind.to_owned(), name.to_owned(), content, condition);
            self.late.borrow_mut().push(late);
            return Err(lost());
        }
        let written = match condition {
            None => self.make(kind, name, content),
            Some(condition) => self.change(kind, name, content, condition),
        };
        if fault == Some(WriteFault::AnswerLost) {
            Err(lost())
        } else {
            written
        }
    }

    fn reach(&self) -> Result<(), StoreError> {
        self.calls.set(self.calls.get() + 1);
        if self.down.get() {
            return Err(StoreError::NotDone("down".to_owned()));
        }
        Ok(())
    }

    fn changes_since(&self, kind: &str, since: Revision) -> Vec<Change> {
        let history = self.history.borrow();
        let wanted = history.iter().filter(|(at, of, _)| *at > since && of == kind);
        wanted.map(|(_, _, change)| change.clone()).collect()
    }
}

#[async_trait(?Send)]
impl ObjectStore for MemoryStore {
    async fn list(&self, kind: &str, after: Option<&str>) -> Result<Listing, StoreError> {
        self.reach()?;
        let objects = self.objects.borrow();
        let listed = objects.iter().filter(|((of, name), _)| {
            of == kind && after.is_none_or(|after| name.as_str() > after)
        });
        Ok(Listing {
            objects: listed.map(|(_, object)| object.clone()).collect(),
            more: false,
            at: self.revision.get(),
        })
    }

    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, StoreError> {
        self.reach()?;
        Ok(self.object(kind, name))
    }

    async fn watch(
        &self,
        kind: &str,
        since: Revision,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        self.reach()?;
        let fault = self.watch_faults.borrow_mut().pop_front();
        if fault == Some(WatchFault::Cut) {
            return Err(StoreError::Unknown("cut".to_owned()));
        }
        if fault == Some(WatchFault::Deaf) {
            futures_lite::future::pending::<()>().await;
        }
        if since < self.floor.get() {
            return Err(StoreError::HistoryGone);
        }
        let step = Duration::from_millis(5);
        for _ in 0..wait.as_millis() / step.as_millis() {
            let changes = self.changes_since(kind, since);
            if !changes.is_empty() && !self.muted.get() {
                if since < self.floor.get() {
                    return Err(StoreError::HistoryGone);
                }
                return Ok(Changes { changes, at: self.revision.get() });
            }
            Timer::after(step).await;
        }
        Ok(Changes { changes: Vec::new(), at: self.revision.get() })
    }

    async fn create(&self, kind: &str, name: &str, content: Value) -> Result<Object, StoreError> {
        let made = self.write(kind, name, content, None);
        Timer::after(self.answer_delay.get()).await;
        made
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
        self.reach()?;
        let object = self.object(kind, name).ok_or(StoreError::NotFound)?;
        Ok(self.set(kind, name, object.content, status))
    }

    async fn probe(&self) -> Result<(), StoreError> {
        self.reach()
    }

    async fn remove(&self, kind: &str, name: &str) -> Result<(), StoreError> {
        self.reach()?;
        self.objects.borrow_mut().remove(&(kind.to_owned(), name.to_owned()));
        Ok(())
    }
}

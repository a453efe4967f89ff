//! Dissemination of store updates: objects are set and removed, two sources watch the store, and a
//! follower requests updates from both and applies the first response.
//!
//! The model has no time: a response may arrive at any later time or never, and a source may lag
//! arbitrarily. The delay of updates is tested on the daemons themselves.
//!
//! Invariants: the objects that a daemon holds at a revision are those of the store at that
//! revision, and the revision of the follower never decreases.

use std::hash::Hash;
use std::hash::Hasher;
use std::rc::Rc;

use heronbend_gateway::encoded_object::EncodedObject;
use heronbend_gateway::ports::Change;
use heronbend_gateway::ports::Object;
use heronbend_gateway::ports::Revision;
use heronbend_gateway::replica::Replica;
use heronbend_gateway::replica::Update;
use heronbend_gateway::replica::Verification;
use serde_json::Value;

use crate::explore::System;

/// A guard of the protocol that is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// The unmodified protocol.
    None,
    /// An interrupted watch resumes from its revision although the store has compacted its history.
    ResumesAfterCompaction,
    /// A follower applies responses that arrive after it has applied another one.
    AppliesLateResponses,
    /// A follower accepts a snapshot that is older than its own state.
    AcceptsOlderSnapshot,
    /// A source without the tombstones for an update sends changes instead of a snapshot, and
    /// without a digest.
    OmitsRemovals,
    /// The follower applies changes without verifying the digest of the result.
    SkipsDigestCheck,
}

/// The system and its bounds.
#[derive(Debug, Clone, Copy)]
pub struct UpdateDissemination {
    /// Changes of objects.
    pub changes: usize,
    /// Compactions of the store's history.
    pub compactions: u8,
    /// Requests of the follower for a snapshot.
    pub snapshots: u8,
    /// The removed guard.
    pub mutation: Mutation,
}

const SOURCES: usize = 2;
const NAMES: [&str; 2] = ["a", "b"];
/// Tombstones that a replica retains.
const MIN_TOMBSTONES: usize = 1;

/// A response in flight to the follower.
#[derive(Debug, Clone, PartialEq)]
struct Response {
    source: usize,
    /// Requested start revision; `None` for a snapshot.
    since: Option<Revision>,
    update: Update,
}

/// A global state.
#[derive(Debug, Clone)]
pub struct State {
    /// Contents of the store at each revision from 0: names and revisions of objects.
    history: Vec<Vec<(&'static str, Revision)>>,
    /// Revision up to which the store's history is compacted.
    compacted_revision: Revision,
    sources: Vec<Replica>,
    /// Revision up to which each source has watched the store.
    watch_revisions: Vec<Revision>,
    follower: Replica,
    responses: Vec<Response>,
    compactions_left: u8,
    snapshots_left: u8,
    violation: Option<&'static str>,
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        format!("{self:?}") == format!("{other:?}")
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        format!("{self:?}").hash(state);
    }
}

fn object(name: &str, revision: Revision) -> Object {
    Object { name: name.to_owned(), revision, content: Value::Null, status: Value::Null }
}

impl State {
    fn revision(&self) -> Revision {
        self.history.len() as Revision - 1
    }

    fn objects_at(&self, revision: Revision) -> &[(&'static str, Revision)] {
        usize::try_from(revision).ok().and_then(|index| self.history.get(index)).map_or(&[], |h| h)
    }

    fn list(&self) -> Vec<Rc<EncodedObject>> {
        let objects = self.objects_at(self.revision()).iter();
        objects.map(|(name, revision)| Rc::new((&object(name, *revision)).into())).collect()
    }

    /// Returns the changes after a revision, in order.
    fn changes_after(&self, revision: Revision) -> Vec<Change> {
        let mut changes = Vec::new();
        for at in revision + 1..=self.revision() {
            let (before, after) = (self.objects_at(at - 1), self.objects_at(at));
            for name in NAMES {
                let revision = |objects: &[(&'static str, Revision)]| {
                    objects.iter().find(|(known, _)| *known == name).map(|(_, revision)| *revision)
                };
                match (revision(before), revision(after)) {
                    (Some(_), None) => changes.push(Change::Removed(name.to_owned())),
                    (one, Some(other)) if one != Some(other) => {
                        changes.push(Change::Set(Rc::new((&object(name, other)).into())));
                    }
                    _ => {}
                }
            }
        }
        changes
    }

    /// Whether a replica equals the store at the replica's revision.
    fn matches_store(&self, replica: &Replica) -> bool {
        let known: Vec<(&str, Revision)> =
            replica.objects().map(|object| (object.name.as_str(), object.revision)).collect();
        known == self.objects_at(replica.revision())
    }

    fn check(mut self) -> Self {
        if !self.sources.iter().chain([&self.follower]).all(|replica| self.matches_store(replica)) {
            self.violation = Some("a daemon's objects differ from the store at the same revision");
        }
        self
    }
}

impl UpdateDissemination {
    fn change(&self, state: &State, name: &'static str, is_removal: bool) -> Option<State> {
        let revision = state.revision() + 1;
        let mut objects = state.objects_at(state.revision()).to_vec();
        let known = objects.iter().position(|(known, _)| *known == name);
        if state.history.len() > self.changes || (is_removal && known.is_none()) {
            return None;
        }
        if let Some(index) = known {
            objects.remove(index);
        }
        if !is_removal {
            objects.push((name, revision));
            objects.sort_unstable();
        }
        let mut next = state.clone();
        next.history.push(objects);
        Some(next)
    }

    fn compact(&self, state: &State) -> Option<State> {
        let mut next = state.clone();
        next.compactions_left = next.compactions_left.checked_sub(1)?;
        next.compacted_revision = next.revision();
        Some(next)
    }

    /// A source receives changes from its watch, or lists the store if the history is compacted.
    fn watch(&self, state: &State, source: usize) -> Option<State> {
        let watched_revision = state.watch_revisions[source];
        if watched_revision == state.revision() {
            return None;
        }
        let mut next = state.clone();
        let is_compacted = watched_revision < state.compacted_revision;
        if is_compacted && self.mutation != Mutation::ResumesAfterCompaction {
            next.sources[source].reset(&state.list(), state.revision());
        } else {
            let changes = state.changes_after(watched_revision.max(state.compacted_revision));
            next.sources[source].apply(&changes, state.revision());
        }
        next.watch_revisions[source] = state.revision();
        Some(next)
    }

    /// A source responds to a request of the follower.
    fn respond(&self, state: &State, source: usize, is_snapshot: bool) -> Option<State> {
        let since = if is_snapshot { 0 } else { state.follower.revision() };
        let mut update = state.sources[source].update_since(since, Verification::Digest)?;
        let is_pending = state.responses.iter().any(|response| response.source == source);
        if is_pending || (is_snapshot && state.snapshots_left == 0) {
            return None;
        }
        if self.mutation == Mutation::OmitsRemovals && !is_snapshot && since > 0 {
            (update.is_snapshot, update.digest) = (false, None);
        }
        let mut next = state.clone();
        next.snapshots_left -= u8::from(is_snapshot);
        next.responses.push(Response { source, since: (!is_snapshot).then_some(since), update });
        Some(next)
    }

    /// The follower receives a response and cancels its other request.
    fn receive(&self, state: &State, index: usize) -> State {
        let mut next = state.clone();
        let response = next.responses.remove(index);
        if self.mutation != Mutation::AppliesLateResponses {
            next.responses.clear();
        }
        let before = next.follower.revision();
        let update = response.update;
        let is_snapshot = response.since.is_none() || update.is_snapshot;
        if is_snapshot {
            if update.at >= before || self.mutation == Mutation::AcceptsOlderSnapshot {
                // A snapshot replaces all known objects.
                next.follower = Replica::with_min_tombstones(MIN_TOMBSTONES);
                next.follower.reset(&update.objects, update.at);
            }
        } else if next.follower.accepts(&update) || self.mutation == Mutation::SkipsDigestCheck {
            let changes = update.into_changes();
            next.follower.apply(&changes.changes, changes.at);
        }
        if next.follower.revision() < before {
            next.violation = Some("the revision of the follower decreases");
        }
        next
    }
}

impl System for UpdateDissemination {
    type State = State;

    fn initial_state(&self) -> State {
        State {
            history: vec![Vec::new()],
            compacted_revision: 0,
            sources: vec![Replica::with_min_tombstones(MIN_TOMBSTONES); SOURCES],
            watch_revisions: vec![0; SOURCES],
            follower: Replica::with_min_tombstones(MIN_TOMBSTONES),
            responses: Vec::new(),
            compactions_left: self.compactions,
            snapshots_left: self.snapshots,
            violation: None,
        }
    }

    fn successors(&self, state: &State) -> Vec<(State, String)> {
        let mut next = Vec::new();
        for name in NAMES {
            let set = self.change(state, name, false);
            next.extend(set.map(|set| (set, format!("{name} is set"))));
            let removed = self.change(state, name, true);
            next.extend(removed.map(|removed| (removed, format!("{name} is removed"))));
        }
        let compacted = self.compact(state);
        next.extend(compacted.map(|state| (state, "the store compacts its history".to_owned())));
        for source in 0..SOURCES {
            let actions = [
                (self.watch(state, source), "receives changes from the store"),
                (self.respond(state, source, false), "sends an update to the follower"),
                (self.respond(state, source, true), "sends a snapshot to the follower"),
            ];
            for (successor, description) in actions {
                next.extend(
                    successor
                        .map(|successor| (successor, format!("source {source} {description}"))),
                );
            }
        }
        for index in 0..state.responses.len() {
            next.push((self.receive(state, index), format!("response {index} arrives")));
        }
        next.into_iter().map(|(state, event)| (state.check(), event)).collect()
    }

    fn violated_invariant(&self, state: &State) -> Option<&'static str> {
        state.violation
    }
}

//! A replica of all objects of one kind, which computes incremental updates for downstream peers.
//! Performs no I/O.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::rc::Rc;

use musli::Decode;
use musli::Encode;
use rapidhash::v3::rapidhash_v3;

use crate::encoded_object::EncodedObject;
use crate::ports::Change;
use crate::ports::Changes;
use crate::ports::Revision;

/// Default lower bound on the number of tombstones that are kept. A replica keeps as many as it has
/// objects if that is more; followers that are further behind receive a snapshot.
const MIN_TOMBSTONES: usize = 512;

/// All objects of one kind, with tombstones of removed objects.
#[derive(Debug, Clone)]
pub struct Replica {
    objects: BTreeMap<String, Rc<EncodedObject>>,
    /// Names of removed objects, with the revision at which the removal was observed.
    tombstones: VecDeque<(Revision, String)>,
    /// Revision up to which the objects are current.
    revision: Revision,
    /// Tombstones up to this revision were discarded.
    compacted: Revision,
    /// Revision of the last list, which does not include objects that were created and removed
    /// before.
    list_revision: Revision,
    /// Tombstones that are kept however few objects there are.
    min_tombstones: usize,
    digest: Digest,
    /// Total size of the encoded objects in bytes.
    bytes: usize,
}

/// Incremental digest of a set of names: the XOR of their hashes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Encode, Decode)]
#[musli(transparent)]
pub struct Digest(u64);

impl Digest {
    /// Adds a name to the set, or removes it again.
    fn toggle(&mut self, name: &str) {
        self.0 ^= rapidhash_v3(name.as_bytes());
    }
}

impl Default for Replica {
    fn default() -> Self {
        Self::with_min_tombstones(MIN_TOMBSTONES)
    }
}

/// A snapshot of a replica, or its changes since a revision.
#[derive(Debug, Clone, PartialEq)]
pub struct Update {
    /// Whether this is a snapshot: `objects` are all that exist.
    pub is_snapshot: bool,
    /// Objects that were created or replaced.
    pub objects: Vec<Rc<EncodedObject>>,
    /// Names of objects that were removed.
    pub removed: Vec<String>,
    /// Revision of the replica after this update.
    pub at: Revision,
    /// Digest of all names at that revision; `None` if the sender is a daemon of an earlier build.
    pub digest: Option<Digest>,
}

/// How a follower verifies that it missed no update.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Verification {
    /// It compares the digest before it applies changes.
    Digest,
    /// Not at all, like daemons of an earlier build.
    Unverified,
}

impl Replica {
    /// Creates an empty replica that keeps at least `min_tombstones` tombstones.
    pub fn with_min_tombstones(min_tombstones: usize) -> Self {
        Self {
            objects: BTreeMap::new(),
            tombstones: VecDeque::new(),
            revision: 0,
            compacted: 0,
            list_revision: 0,
            min_tombstones,
            digest: Digest::default(),
            bytes: 0,
        }
    }

    /// Replaces the contents by a list of all objects.
    pub fn reset(&mut self, objects: &[Rc<EncodedObject>], at: Revision) {
        let names: BTreeSet<&str> = objects.iter().map(|object| object.name.as_str()).collect();
        let stale: Vec<String> =
            self.objects.keys().filter(|name| !names.contains(name.as_str())).cloned().collect();
        for name in stale {
            self.remove(name, at);
        }
        for object in objects {
            self.set(object.clone());
        }
        self.list_revision = self.list_revision.max(at);
        self.revision = self.revision.max(at);
    }

    fn set(&mut self, object: Rc<EncodedObject>) {
        self.bytes += object.bytes();
        match self.objects.insert(object.name.clone(), object.clone()) {
            Some(replaced) => self.bytes -= replaced.bytes(),
            None => self.digest.toggle(&object.name),
        }
    }

    /// Applies changes up to a revision.
    pub fn apply(&mut self, changes: &[Change], at: Revision) {
        for change in changes {
            match change {
                Change::Set(object) => self.set(object.clone()),
                Change::Removed(name) => self.remove(name.clone(), at),
            }
        }
        self.revision = self.revision.max(at);
    }

    fn remove(&mut self, name: String, at: Revision) {
        if let Some(removed) = self.objects.remove(&name) {
            self.bytes -= removed.bytes();
            self.digest.toggle(&name);
        }
        self.tombstones.push_back((at, name));
        while self.tombstones.len() > self.min_tombstones.max(self.objects.len()) {
            if let Some((compacted, _)) = self.tombstones.pop_front() {
                self.compacted = compacted;
            }
        }
    }

    /// Iterates over all objects, in order of their names.
    pub fn objects(&self) -> impl Iterator<Item = &Rc<EncodedObject>> {
        self.objects.values()
    }

    /// Total size of the encoded objects in bytes, before compression.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Revision up to which the objects are current.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the changes since a revision, or a snapshot if the tombstones do not reach that far
    /// back; `None` if the replica is not newer.
    ///
    /// Objects that were created and removed before the last list have no tombstone, but a follower
    /// may have received them from another peer. A follower that verifies the digest detects this;
    /// others receive a snapshot.
    pub fn update_since(&self, revision: Revision, verification: Verification) -> Option<Update> {
        if revision >= self.revision {
            return None;
        }
        let is_unverified = verification == Verification::Unverified;
        let is_compacted =
            revision < self.compacted || (is_unverified && revision < self.list_revision);
        let is_snapshot = revision == 0 || is_compacted;
        let is_changed = |object: &&Rc<EncodedObject>| is_snapshot || object.revision > revision;
        let removed = self.tombstones.iter().filter(|(at, name)| {
            !is_snapshot && *at > revision && !self.objects.contains_key(name)
        });
        Some(Update {
            is_snapshot,
            objects: self.objects.values().filter(is_changed).cloned().collect(),
            removed: removed.map(|(_, name)| name.clone()).collect(),
            at: self.revision,
            digest: Some(self.digest),
        })
    }

    /// Whether the names in this replica would match the sender's digest after applying the update.
    /// Always true for an update without a digest.
    pub fn accepts(&self, update: &Update) -> bool {
        let Some(expected) = update.digest else {
            return true;
        };
        let mut digest = self.digest;
        let removed = update.removed.iter().filter(|name| self.objects.contains_key(*name));
        removed.for_each(|name| digest.toggle(name));
        let created =
            update.objects.iter().filter(|object| !self.objects.contains_key(&object.name));
        created.for_each(|object| digest.toggle(&object.name));
        digest == expected
    }
}

impl Update {
    /// Converts the update into changes, for a follower with the preceding state.
    pub fn into_changes(self) -> Changes {
        let removed = self.removed.into_iter().map(Change::Removed);
        let set = self.objects.into_iter().map(Change::Set);
        Changes { changes: removed.chain(set).collect(), at: self.at }
    }
}

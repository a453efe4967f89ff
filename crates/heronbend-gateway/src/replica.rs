//! All objects of one kind, in a form that peers can follow, without I/O.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use crate::ports::Change;
use crate::ports::Changes;
use crate::ports::Object;
use crate::ports::Revision;

/// Removed objects that are remembered; followers that are further behind get everything.
const MAX_REMOVED: usize = 512;

/// All objects of one kind as they are known here, in a form that peers can follow.
#[derive(Debug, Clone)]
pub struct Replica {
    objects: BTreeMap<String, Object>,
    /// Names of removed objects, with the revision at which their removal was known.
    removed: VecDeque<(Revision, String)>,
    at: Revision,
    /// Removals up to this revision are no longer remembered.
    forgotten: Revision,
    /// Removals that are remembered at most.
    max_removed: usize,
}

impl Default for Replica {
    fn default() -> Self {
        Self::remembering(MAX_REMOVED)
    }
}

/// What has changed since a revision.
#[derive(Debug, Clone, PartialEq)]
pub struct News {
    /// Whether `objects` are all that there are.
    pub is_whole: bool,
    /// Objects that were made or replaced.
    pub objects: Vec<Object>,
    /// Names of objects that were removed.
    pub removed: Vec<String>,
    /// Revision up to which this goes.
    pub at: Revision,
}

impl Replica {
    /// A replica that knows nothing, and remembers so many removals at most.
    pub fn remembering(max_removed: usize) -> Self {
        Self {
            objects: BTreeMap::new(),
            removed: VecDeque::new(),
            at: 0,
            forgotten: 0,
            max_removed,
        }
    }

    /// Takes in a list of all objects.
    pub fn reset(&mut self, objects: &[Object], at: Revision) {
        let names: BTreeSet<&str> = objects.iter().map(|object| object.name.as_str()).collect();
        let gone: Vec<String> =
            self.objects.keys().filter(|name| !names.contains(name.as_str())).cloned().collect();
        for name in gone {
            self.remove(name, at);
        }
        for object in objects {
            self.objects.insert(object.name.clone(), object.clone());
        }
        // A list does not tell of objects that came and went before it. A follower may have heard of
        // them from another watcher.
        self.forgotten = self.forgotten.max(at);
        self.at = self.at.max(at);
    }

    /// Takes in changes up to a revision.
    pub fn apply(&mut self, changes: &[Change], at: Revision) {
        for change in changes {
            match change {
                Change::Set(object) => {
                    self.objects.insert(object.name.clone(), object.clone());
                }
                Change::Removed(name) => self.remove(name.clone(), at),
            }
        }
        self.at = self.at.max(at);
    }

    fn remove(&mut self, name: String, at: Revision) {
        self.objects.remove(&name);
        self.removed.push_back((at, name));
        if self.removed.len() > self.max_removed {
            if let Some((forgotten, _)) = self.removed.pop_front() {
                self.forgotten = forgotten;
            }
        }
    }

    /// All objects that are known.
    pub fn objects(&self) -> impl Iterator<Item = &Object> {
        self.objects.values()
    }

    /// Revision up to which the objects are known.
    pub fn at(&self) -> Revision {
        self.at
    }

    /// What has changed since a revision; nothing where that is all that is known.
    pub fn since(&self, revision: Revision) -> Option<News> {
        if revision >= self.at {
            return None;
        }
        let is_whole = revision == 0 || revision < self.forgotten;
        let is_news = |object: &&Object| is_whole || object.revision > revision;
        let removed = self
            .removed
            .iter()
            .filter(|(at, name)| !is_whole && *at > revision && !self.objects.contains_key(name));
        Some(News {
            is_whole,
            objects: self.objects.values().filter(is_news).cloned().collect(),
            removed: removed.map(|(_, name)| name.clone()).collect(),
            at: self.at,
        })
    }
}

impl News {
    /// The changes, for a follower that knows what stood before.
    pub fn into_changes(self) -> Changes {
        let removed = self.removed.into_iter().map(Change::Removed);
        let set = self.objects.into_iter().map(Change::Set);
        Changes { changes: removed.chain(set).collect(), at: self.at }
    }
}

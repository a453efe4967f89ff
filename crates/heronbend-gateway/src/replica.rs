//! All objects of one kind, in a form that peers can follow, without I/O.

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

/// Removed objects that are remembered at the least; followers that are further behind get everything.
/// As many are remembered as there are objects: beyond that everything is the shorter news.
const MIN_REMEMBERED: usize = 512;

/// All objects of one kind as they are known here, in a form that peers can follow.
#[derive(Debug, Clone)]
pub struct Replica {
    objects: BTreeMap<String, Rc<EncodedObject>>,
    /// Names of removed objects, with the revision at which their removal was known.
    removed: VecDeque<(Revision, String)>,
    at: Revision,
    /// Removals up to this revision are no longer remembered.
    forgotten: Revision,
    /// Revision of the last list: it told nothing of objects that came and went before it.
    listed: Revision,
    /// Removals that are remembered however few objects there are.
    min_remembered: usize,
    digest: Digest,
    /// Bytes of all objects' names and texts.
    bytes: usize,
}

/// Tells sets of names apart: the names' hashes, joined so that each can be put in and taken out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Encode, Decode)]
#[musli(transparent)]
pub struct Digest(u64);

impl Digest {
    /// Puts a name in, or takes it out again.
    fn toggle(&mut self, name: &str) {
        self.0 ^= rapidhash_v3(name.as_bytes());
    }
}

impl Default for Replica {
    fn default() -> Self {
        Self::remembering(MIN_REMEMBERED)
    }
}

/// What has changed since a revision.
#[derive(Debug, Clone, PartialEq)]
pub struct News {
    /// Whether `objects` are all that there are.
    pub is_whole: bool,
    /// Objects that were made or replaced.
    pub objects: Vec<Rc<EncodedObject>>,
    /// Names of objects that were removed.
    pub removed: Vec<String>,
    /// Revision up to which this goes.
    pub at: Revision,
    /// The names of all objects at that revision; nothing where a daemon of an earlier build tells it.
    pub digest: Option<Digest>,
}

/// Whether who is told news checks that nothing was missed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Checking {
    /// By the digest, before it takes changes.
    ByDigest,
    /// Not at all, as daemons of an earlier build.
    Unchecked,
}

impl Replica {
    /// A replica that knows nothing, and remembers so many removals, or as many as it has objects.
    pub fn remembering(min_remembered: usize) -> Self {
        Self {
            objects: BTreeMap::new(),
            removed: VecDeque::new(),
            at: 0,
            forgotten: 0,
            listed: 0,
            min_remembered,
            digest: Digest::default(),
            bytes: 0,
        }
    }

    /// Takes in a list of all objects.
    pub fn reset(&mut self, objects: &[Rc<EncodedObject>], at: Revision) {
        let names: BTreeSet<&str> = objects.iter().map(|object| object.name.as_str()).collect();
        let gone: Vec<String> =
            self.objects.keys().filter(|name| !names.contains(name.as_str())).cloned().collect();
        for name in gone {
            self.remove(name, at);
        }
        for object in objects {
            self.set(object.clone());
        }
        self.listed = self.listed.max(at);
        self.at = self.at.max(at);
    }

    fn set(&mut self, object: Rc<EncodedObject>) {
        self.bytes += object.bytes();
        match self.objects.insert(object.name.clone(), object.clone()) {
            Some(replaced) => self.bytes -= replaced.bytes(),
            None => self.digest.toggle(&object.name),
        }
    }

    /// Takes in changes up to a revision.
    pub fn apply(&mut self, changes: &[Change], at: Revision) {
        for change in changes {
            match change {
                Change::Set(object) => self.set(object.clone()),
                Change::Removed(name) => self.remove(name.clone(), at),
            }
        }
        self.at = self.at.max(at);
    }

    fn remove(&mut self, name: String, at: Revision) {
        if let Some(removed) = self.objects.remove(&name) {
            self.bytes -= removed.bytes();
            self.digest.toggle(&name);
        }
        self.removed.push_back((at, name));
        while self.removed.len() > self.min_remembered.max(self.objects.len()) {
            if let Some((forgotten, _)) = self.removed.pop_front() {
                self.forgotten = forgotten;
            }
        }
    }

    /// All objects that are known.
    pub fn objects(&self) -> impl Iterator<Item = &Rc<EncodedObject>> {
        self.objects.values()
    }

    /// Bytes of all objects' names and texts: what a whole state takes before it is packed.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Revision up to which the objects are known.
    pub fn at(&self) -> Revision {
        self.at
    }

    /// What has changed since a revision; nothing where that is all that is known.
    ///
    /// A list does not tell of objects that came and went before it, of which a follower may have heard
    /// from another daemon. One that checks what it is told finds out, and the others get everything.
    pub fn since(&self, revision: Revision, checking: Checking) -> Option<News> {
        if revision >= self.at {
            return None;
        }
        let is_unchecked = checking == Checking::Unchecked;
        let is_forgotten = revision < self.forgotten || (is_unchecked && revision < self.listed);
        let is_whole = revision == 0 || is_forgotten;
        let is_news = |object: &&Rc<EncodedObject>| is_whole || object.revision > revision;
        let removed = self
            .removed
            .iter()
            .filter(|(at, name)| !is_whole && *at > revision && !self.objects.contains_key(name));
        Some(News {
            is_whole,
            objects: self.objects.values().filter(is_news).cloned().collect(),
            removed: removed.map(|(_, name)| name.clone()).collect(),
            at: self.at,
            digest: Some(self.digest),
        })
    }

    /// Whether this would hold the same objects as who tells news, once it took the changes in.
    pub fn accepts(&self, news: &News) -> bool {
        let Some(told) = news.digest else {
            return true;
        };
        let mut digest = self.digest;
        let removed = news.removed.iter().filter(|name| self.objects.contains_key(*name));
        removed.for_each(|name| digest.toggle(name));
        let made = news.objects.iter().filter(|object| !self.objects.contains_key(&object.name));
        made.for_each(|object| digest.toggle(&object.name));
        digest == told
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

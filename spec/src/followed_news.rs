//! News of the store by way of daemons that watch it: objects that are set and removed, two watchers,
//! one of which may miss what the store has dropped from its history, and a follower that asks both
//! and takes the first answer.
//!
//! Time is not in it: an answer may come at any later time or never, and a watcher may lag for as long
//! as it likes. How long a follower may be behind is tested on real daemons.
//!
//! Invariants: what a daemon knows up to a revision is what the store held at that revision, and the
//! follower never goes back.

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

/// A guard that is taken out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// None.
    None,
    /// A watch that was cut goes on from its revision although the store has dropped its history.
    WatchesOn,
    /// An answer that comes after another one was taken is taken as well.
    TakesLate,
    /// A follower takes a whole list from a watcher that knows less than it does.
    TakesOlderList,
    /// A watcher that has forgotten removals tells changes instead of everything, and the follower does
    /// not check them.
    ForgetsRemovals,
    /// The follower takes changes without checking that it holds the same objects after them.
    TakesUnchecked,
}

/// The system; bounds are small numbers of each event.
#[derive(Debug, Clone, Copy)]
pub struct FollowedNews {
    /// Changes of objects.
    pub changes: usize,
    /// Times that the store drops its history.
    pub compactions: u8,
    /// Times that the follower forgets all and begins anew with a list.
    pub lists: u8,
    /// The guard that is taken out.
    pub mutation: Mutation,
}

const WATCHERS: usize = 2;
const NAMES: [&str; 2] = ["a", "b"];
/// Removals that a watcher remembers.
const REMEMBERED: usize = 1;

/// An answer on its way to the follower.
#[derive(Debug, Clone, PartialEq)]
struct Answer {
    watcher: usize,
    /// What it was asked for; nothing for a whole list.
    since: Option<Revision>,
    news: Update,
}

/// A state of the system.
#[derive(Debug, Clone)]
pub struct State {
    /// What the store held at each revision, counted from 0: names with their revision.
    held: Vec<Vec<(&'static str, Revision)>>,
    /// Changes up to this revision are not in the store's history any more.
    floor: Revision,
    watchers: Vec<Replica>,
    /// Revision from which each watcher watches.
    watched: Vec<Revision>,
    follower: Replica,
    answers: Vec<Answer>,
    compactions_left: u8,
    lists_left: u8,
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
    fn at(&self) -> Revision {
        self.held.len() as Revision - 1
    }

    fn held_at(&self, revision: Revision) -> &[(&'static str, Revision)] {
        usize::try_from(revision).ok().and_then(|index| self.held.get(index)).map_or(&[], |h| h)
    }

    fn list(&self) -> Vec<Rc<EncodedObject>> {
        let held = self.held_at(self.at()).iter();
        held.map(|(name, revision)| Rc::new((&object(name, *revision)).into())).collect()
    }

    /// The changes after a revision, in order.
    fn changes_after(&self, revision: Revision) -> Vec<Change> {
        let mut changes = Vec::new();
        for at in revision + 1..=self.at() {
            let (before, after) = (self.held_at(at - 1), self.held_at(at));
            for name in NAMES {
                let revision = |held: &[(&'static str, Revision)]| {
                    held.iter().find(|(known, _)| *known == name).map(|(_, revision)| *revision)
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

    /// Whether a replica holds what the store held at the replica's revision.
    fn is_true(&self, replica: &Replica) -> bool {
        let known: Vec<(&str, Revision)> =
            replica.objects().map(|object| (object.name.as_str(), object.revision)).collect();
        known == self.held_at(replica.revision())
    }

    fn check(mut self) -> Self {
        if !self.watchers.iter().chain([&self.follower]).all(|replica| self.is_true(replica)) {
            self.violation = Some("a daemon knows what the store never held");
        }
        self
    }
}

impl FollowedNews {
    fn change(&self, state: &State, name: &'static str, is_removal: bool) -> Option<State> {
        let revision = state.at() + 1;
        let mut held = state.held_at(state.at()).to_vec();
        let known = held.iter().position(|(known, _)| *known == name);
        if state.held.len() > self.changes || (is_removal && known.is_none()) {
            return None;
        }
        if let Some(index) = known {
            held.remove(index);
        }
        if !is_removal {
            held.push((name, revision));
            held.sort_unstable();
        }
        let mut next = state.clone();
        next.held.push(held);
        Some(next)
    }

    fn compact(&self, state: &State) -> Option<State> {
        let mut next = state.clone();
        next.compactions_left = next.compactions_left.checked_sub(1)?;
        next.floor = next.at();
        Some(next)
    }

    /// A watcher's watch is answered, or it lists because the history is gone.
    fn watch(&self, state: &State, watcher: usize) -> Option<State> {
        let from = state.watched[watcher];
        if from == state.at() {
            return None;
        }
        let mut next = state.clone();
        let is_gone = from < state.floor;
        if is_gone && self.mutation != Mutation::WatchesOn {
            next.watchers[watcher].reset(&state.list(), state.at());
        } else {
            let changes = state.changes_after(from.max(state.floor));
            next.watchers[watcher].apply(&changes, state.at());
        }
        next.watched[watcher] = state.at();
        Some(next)
    }

    /// The follower's call at a watcher is answered; the answer is on its way.
    fn answer(&self, state: &State, watcher: usize, is_list: bool) -> Option<State> {
        let since = if is_list { 0 } else { state.follower.revision() };
        let mut news = state.watchers[watcher].update_since(since, Verification::Digest)?;
        let is_asked = state.answers.iter().any(|answer| answer.watcher == watcher);
        if is_asked || (is_list && state.lists_left == 0) {
            return None;
        }
        if self.mutation == Mutation::ForgetsRemovals && !is_list && since > 0 {
            (news.is_snapshot, news.digest) = (false, None);
        }
        let mut next = state.clone();
        next.lists_left -= u8::from(is_list);
        next.answers.push(Answer { watcher, since: (!is_list).then_some(since), news });
        Some(next)
    }

    /// An answer arrives. The other call is given up.
    fn take(&self, state: &State, index: usize) -> State {
        let mut next = state.clone();
        let answer = next.answers.remove(index);
        if self.mutation != Mutation::TakesLate {
            next.answers.clear();
        }
        let before = next.follower.revision();
        let news = answer.news;
        let is_list = answer.since.is_none() || news.is_snapshot;
        if is_list {
            if news.at >= before || self.mutation == Mutation::TakesOlderList {
                // What it knew is forgotten: a list is all that there is.
                next.follower = Replica::with_min_tombstones(REMEMBERED);
                next.follower.reset(&news.objects, news.at);
            }
        } else if next.follower.accepts(&news) || self.mutation == Mutation::TakesUnchecked {
            let changes = news.into_changes();
            next.follower.apply(&changes.changes, changes.at);
        }
        if next.follower.revision() < before {
            next.violation = Some("the follower goes back");
        }
        next
    }
}

impl System for FollowedNews {
    type State = State;

    fn start(&self) -> State {
        State {
            held: vec![Vec::new()],
            floor: 0,
            watchers: vec![Replica::with_min_tombstones(REMEMBERED); WATCHERS],
            watched: vec![0; WATCHERS],
            follower: Replica::with_min_tombstones(REMEMBERED),
            answers: Vec::new(),
            compactions_left: self.compactions,
            lists_left: self.lists,
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
        next.extend(compacted.map(|state| (state, "the store drops its history".to_owned())));
        for watcher in 0..WATCHERS {
            let steps = [
                (self.watch(state, watcher), "hears from the store"),
                (self.answer(state, watcher, false), "answers the follower"),
                (self.answer(state, watcher, true), "tells the follower everything"),
            ];
            for (step, what) in steps {
                next.extend(step.map(|step| (step, format!("watcher {watcher} {what}"))));
            }
        }
        for index in 0..state.answers.len() {
            next.push((self.take(state, index), format!("answer {index} arrives")));
        }
        next.into_iter().map(|(state, event)| (state.check(), event)).collect()
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        state.violation
    }
}

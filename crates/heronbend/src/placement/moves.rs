//! Decides which batch item gets a free slot: a waiting one, or a running one that is late on its
//! server.

use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::time::Duration;

use super::eligibility::Requirements;
use super::eligibility::VersionStatus;
use super::exclusion_counts::ExclusionCounts;
use super::keys::ServerKey;
use super::placer::Choice;
use super::placer::Placer;
use super::queue::TicketKey;
use super::running::Run;
use super::running::RunKey;
use super::slack;
use super::slack::PaceRange;
use crate::Moment;

/// Gain that an item needs to move if it is not late, as a multiple of that of a late one. Its
/// remaining length is an estimate, and it may have to make room again.
const IN_TIME_GAIN_FACTOR: u32 = 2;

/// Assigns a free slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Assignment {
    /// To a queued item, which is removed from the queue.
    Place(TicketKey, Choice),
    /// To a running item, which must end its current attempt.
    Move(RunKey, Choice),
}

/// Order in which items get a slot on a fast server; the lowest value comes first.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Need {
    priority: u8,
    /// Time to spare on the fastest server, in milliseconds.
    slack_millis: f64,
}

impl Need {
    fn compare(&self, other: &Self) -> Ordering {
        let by_priority = self.priority.cmp(&other.priority);
        by_priority.then(self.slack_millis.total_cmp(&other.slack_millis))
    }
}

/// A running item that could move.
#[derive(Debug, Clone, Copy)]
struct Move {
    need: Need,
    run: RunKey,
    choice: Choice,
}

/// The moves to make next: of an item that is late on its server, and of one that is not.
#[derive(Debug, Clone, Copy, Default)]
struct Moves {
    late: Option<Move>,
    in_time: Option<Move>,
}

impl Placer {
    /// Records that a batch item runs and may move to a faster server.
    pub fn run_started(&mut self, run: Run) -> RunKey {
        self.runs.add(run)
    }

    /// Updates the expected number of remaining events of a running item.
    pub fn run_progressed(&mut self, key: RunKey, remaining: u32) {
        self.runs.set_remaining(key, remaining);
    }

    /// Records that a run has ended, or moves.
    pub fn run_ended(&mut self, key: RunKey) {
        self.runs.remove(key);
    }

    /// Whether any running item is late on its server.
    pub fn has_late_run(&self, now: Moment) -> bool {
        self.runs.movable().any(|(_, run)| {
            let pace = self.paces.get(run.server);
            pace.is_some_and(|pace| run.work.is_late(now, pace))
        })
    }

    /// Assigns a free slot to the item that needs it most. A running item moves only if that saves
    /// at least `min_gain`, and if no waiting item that can use the slot has less slack. One that
    /// is not late moves only if no waiting item can use the slot.
    ///
    /// The caller must report the item with [`Self::request_started`] on its new server, and end
    /// the run of an item that moves, before it asks for the next one.
    pub fn next_assignment(
        &mut self,
        now: Moment,
        min_gain: Duration,
        is_connected: impl Fn(ServerKey) -> bool,
    ) -> Option<Assignment> {
        let moves = self.next_moves(now, min_gain);
        if let Some(late) = moves.late {
            if !self.is_needed_more(now, late.need, late.choice.server) {
                return Some(Assignment::Move(late.run, late.choice));
            }
        }
        if let Some((ticket, choice)) = self.place_next(now, is_connected) {
            return Some(Assignment::Place(ticket, choice));
        }
        let next = moves.late.or(moves.in_time)?;
        Some(Assignment::Move(next.run, next.choice))
    }

    /// The moves of the running items that need a faster server most.
    fn next_moves(&mut self, now: Moment, min_gain: Duration) -> Moves {
        let kinds: BTreeSet<Requirements> =
            self.runs.movable().map(|(_, run)| run.requirements).collect();
        let mut moves = Moves::default();
        for requirements in kinds {
            let (eligible, _) = self.cached_eligible(now, &requirements);
            let Some(range) = self.pace_range(&eligible) else {
                continue;
            };
            let targets = self.move_targets(now, &requirements, &eligible, range);
            self.add_moves(now, min_gain, &requirements, (range, &targets), &mut moves);
        }
        moves
    }

    /// Servers with a free slot and their paces, the fastest first.
    fn move_targets(
        &self,
        now: Moment,
        requirements: &Requirements,
        eligible: &[ServerKey],
        range: PaceRange,
    ) -> Vec<(ServerKey, f64)> {
        let exclusions = &mut ExclusionCounts::default();
        let available = self.available_for_batch_item(now, requirements, eligible, exclusions);
        let has_suspect =
            |key: &ServerKey| self.get(*key).is_some_and(|server| server.health.suspects > 0);
        // A server that is only expected to have the version may reject the text, which has given
        // up its slot by then.
        let has_version = |key: &ServerKey| {
            let choice = self.choice(now, requirements, *key);
            choice.is_some_and(|choice| choice.version_status == VersionStatus::Registered)
        };
        let usable = available.into_iter().filter(|key| !has_suspect(key) && has_version(key));
        let mut targets: Vec<(ServerKey, f64)> =
            usable.map(|key| (key, self.assumed_pace(key, range))).collect();
        targets.sort_by(|a, b| a.1.total_cmp(&b.1));
        targets
    }

    /// Adds the moves of the items with these requirements.
    fn add_moves(
        &self,
        now: Moment,
        min_gain: Duration,
        requirements: &Requirements,
        (range, targets): (PaceRange, &[(ServerKey, f64)]),
        moves: &mut Moves,
    ) {
        let fastest = targets.first().map_or(f64::INFINITY, |(_, pace)| *pace);
        for (key, run) in self.runs.movable().filter(|(_, run)| run.requirements == *requirements) {
            let current = self.paces.get(run.server);
            let Some(current) = current.filter(|current| slack::is_faster(fastest, *current))
            else {
                continue;
            };
            let is_late = run.work.is_late(now, current);
            // The placement of an item in time stands until its first events.
            if !is_late && !run.has_progressed {
                continue;
            }
            let required = if is_late { min_gain } else { min_gain * IN_TIME_GAIN_FACTOR };
            let target = targets.iter().find(|(key, _)| !run.history.failed.contains(key));
            let Some((server, _)) = target.filter(|(_, pace)| {
                let gain = run.work.duration(current).saturating_sub(run.work.duration(*pace));
                slack::is_faster(*pace, current) && gain >= required
            }) else {
                continue;
            };
            let slack_millis = run.work.slack_millis(now, range.fastest);
            let need = Need { priority: run.priority, slack_millis };
            let best = if is_late { &mut moves.late } else { &mut moves.in_time };
            let is_first = best.is_none_or(|known| need.compare(&known.need).is_lt());
            if let Some(choice) = self.choice(now, requirements, *server).filter(|_| is_first) {
                *best = Some(Move { need, run: key, choice });
            }
        }
    }

    /// Whether a waiting item that could use `server` comes before a running one.
    fn is_needed_more(&mut self, now: Moment, need: Need, server: ServerKey) -> bool {
        for requirements in self.queue.lanes_by_urgency() {
            let (eligible, _) = self.cached_eligible(now, &requirements);
            let range = self.pace_range(&eligible).filter(|_| eligible.contains(&server));
            let first = self.queue.most_urgent(&requirements, 1).into_iter().next();
            let Some((range, ticket)) = range.zip(first) else {
                continue;
            };
            let known = self.queue.work(ticket).zip(self.queue.urgency(ticket));
            let waiting = known.map(|(work, urgency)| Need {
                priority: urgency.priority,
                slack_millis: work.slack_millis(now, range.fastest),
            });
            if waiting.is_some_and(|waiting| waiting.compare(&need).is_lt()) {
                return true;
            }
        }
        false
    }
}

//! Which part of a split route runs a request.
//!
//! A route may be split between services by weights; each of these is a part of the route. A
//! request belongs to the part that the weights pick, so that each part gets its share. It runs at
//! another part only if its own one cannot serve it:
//!
//! - A call leaves its part if no server there may run it, whatever the load, if servers there have
//!   rejected it, or in place of a refusal. It leaves only for a server with a free slot, so that
//!   the calls of a large part do not flood a small one; without such a server it is refused.
//! - A batch item leaves its part if no server is left there, or if the part has been stalled for
//!   [`STALL_LIMIT`], for a part that serves. It does not leave a part that is merely full: that
//!   part works off its queue.

use std::time::Duration;

use super::eligibility::AttemptHistory;
use super::eligibility::Exclusion;
use super::eligibility::Requirements;
use super::exclusion_counts::ExclusionCounts;
use super::keys::ServerKey;
use super::placer::Choice;
use super::placer::Placer;
use super::rank;
use super::wait_policy;
use super::wait_policy::Decision;
use super::wait_policy::WaitState;
use crate::Moment;

/// How long a batch item stays with a part whose servers are all expected to become usable by time
/// alone. A server loads a version or restarts within a second.
pub const STALL_LIMIT: Duration = Duration::from_secs(2);

/// Whether the servers of a part can run requests with given requirements.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartState {
    /// A server can run a request, or could if it had a free slot.
    Serving,
    /// Its servers may become usable by time alone: they load a version, are cold or in backoff.
    Stalled,
    /// It has no server that may run a request: all have exited, drain, or are out of reach.
    Unserved,
}

/// The wait of a batch item for a server of its part.
#[derive(Debug, Clone, Copy, Default)]
pub struct PartWait {
    stalled_since: Option<Moment>,
}

impl PartWait {
    /// Records the state of the part. Returns whether the item should run at another part, if one
    /// is serving.
    pub fn should_leave(&mut self, now: Moment, state: PartState) -> bool {
        match state {
            PartState::Unserved => true,
            PartState::Serving => {
                self.stalled_since = None;
                false
            }
            PartState::Stalled => {
                let since = *self.stalled_since.get_or_insert(now);
                now.saturating_sub(since) >= STALL_LIMIT
            }
        }
    }
}

impl Placer {
    /// State of a part for batch items with these requirements.
    pub fn part_state(&mut self, now: Moment, requirements: &Requirements) -> PartState {
        let (eligible, exclusions) = self.cached_eligible(now, requirements);
        if eligible.is_empty() {
            let may_load = exclusions.contains(Exclusion::VersionMismatch);
            return if may_load { PartState::Stalled } else { PartState::Unserved };
        }
        let mut exclusions = ExclusionCounts::default();
        let available =
            self.available_for_batch_item(now, requirements, &eligible, &mut exclusions);
        let is_full = exclusions.contains(Exclusion::NoFreeSlot)
            || exclusions.contains(Exclusion::InFlightLimit);
        if available.is_empty() && !is_full {
            PartState::Stalled
        } else {
            PartState::Serving
        }
    }

    /// Whether a server of a part may run a call, whatever the load.
    pub fn has_eligible(&mut self, now: Moment, requirements: &Requirements) -> bool {
        !self.cached_eligible(now, requirements).0.is_empty()
    }

    /// Chooses a server for a call, like [`Self::place_call`]. `parts` are the requirements at its
    /// own part, which must exist, and at the other parts of its route.
    pub fn place_split_call(
        &mut self,
        now: Moment,
        parts: &[Requirements],
        history: &AttemptHistory,
        wait: &WaitState,
        is_connected: impl Fn(ServerKey) -> bool,
    ) -> Decision {
        let decision = self.place_call(now, &parts[0], history, wait, &is_connected);
        self.divert(now, parts, history, wait, decision, &is_connected)
    }

    /// Chooses a server for a stream, like [`Self::place_stream`]. `parts` are as for
    /// [`Self::place_split_call`].
    pub fn place_split_stream(
        &mut self,
        now: Moment,
        parts: &[Requirements],
        history: &AttemptHistory,
        wait: &WaitState,
    ) -> Decision {
        let decision = self.place_stream(now, &parts[0], history, wait);
        self.divert(now, parts, history, wait, decision, &|_| true)
    }

    /// Replaces `decision`, which was made for the part `parts[0]`, if the call leaves that part.
    fn divert(
        &mut self,
        now: Moment,
        parts: &[Requirements],
        history: &AttemptHistory,
        wait: &WaitState,
        decision: Decision,
        is_connected: &dyn Fn(ServerKey) -> bool,
    ) -> Decision {
        let (own, others) = (&parts[0], &parts[1..]);
        let is_in_time = now < wait.deadline;
        if others.is_empty() || !is_in_time || !self.leaves_part(now, own, history, &decision) {
            return decision;
        }
        for part in others {
            if let Some(choice) = self.place_in_free_slot(now, part, history, is_connected) {
                return Decision::Place(choice);
            }
        }
        let is_served_elsewhere = others.iter().any(|part| self.has_eligible(now, part));
        if is_served_elsewhere && !self.has_eligible(now, own) {
            // The wait is for a slot of another part, not for the successor of a server.
            let wait = WaitState { was_sent: false, ..*wait };
            return wait_policy::wait_or_reject(now, &wait, Some(Exclusion::NoFreeSlot));
        }
        decision
    }

    /// Whether a call leaves its part after `decision`.
    fn leaves_part(
        &mut self,
        now: Moment,
        own: &Requirements,
        history: &AttemptHistory,
        decision: &Decision,
    ) -> bool {
        match decision {
            Decision::Place(_) => false,
            // A request that is likely to crash its server must not reach another part's.
            Decision::Reject(rejection) => rejection.reason != Some(Exclusion::LastHealthy),
            Decision::Wait(_) => !history.tried.is_empty() || !self.has_eligible(now, own),
        }
    }

    /// Chooses the best of the servers with a free slot and the newest weights; `None` if there is
    /// none.
    fn place_in_free_slot(
        &mut self,
        now: Moment,
        requirements: &Requirements,
        history: &AttemptHistory,
        is_connected: &dyn Fn(ServerKey) -> bool,
    ) -> Option<Choice> {
        let (eligible, mut exclusions) = self.cached_eligible(now, requirements);
        let mut available =
            self.available_for_batch_item(now, requirements, &eligible, &mut exclusions);
        available.retain(|key| !history.tried.contains(key));
        if available.is_empty() {
            self.record_permit_demand(now, requirements, &eligible, 1);
            return None;
        }
        let available = self.separate_suspects(available, history.is_isolated);
        if history.spares_last_healthy
            && self.includes_last_healthy(now, requirements.service, &available)
        {
            return None;
        }
        let newest = self.with_newest_version(now, requirements, available);
        let key = self.cheapest(now, &newest, rank::CALL, is_connected)?;
        self.choice(now, requirements, key)
    }
}

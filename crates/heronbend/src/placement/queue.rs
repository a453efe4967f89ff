//! Queue of batch items, in order of urgency.
//!
//! Tickets with the same requirements wait for the same servers and share a lane. If the first
//! ticket of a lane cannot be placed, the rest of the lane is skipped.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::HashMap;

use super::eligibility::AttemptHistory;
use super::eligibility::Requirements;
use super::slack::Work;
use crate::Moment;

/// Key of a queued batch item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketKey(u64);

/// Urgency of a batch item; the lowest value comes first.
///
/// Items are ordered by priority, then by the deadline of their step, then longest first: the last
/// item to finish decides when the step is complete (Graham, "Bounds on multiprocessing timing
/// anomalies", 1969).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// Priority of the tenant or route; 0 is the highest.
    pub priority: u8,
    /// Deadline of the step.
    pub deadline: Moment,
    /// Expected number of remaining tokens.
    pub remaining_tokens: Reverse<u64>,
}

#[derive(Debug, Clone)]
struct Ticket {
    requirements: Requirements,
    urgency: Urgency,
    history: AttemptHistory,
    work: Option<Work>,
    since: Moment,
}

type Lane = BTreeMap<(Urgency, TicketKey), ()>;

/// Queued tickets in lanes by requirements, each in order of urgency.
#[derive(Debug, Default)]
pub struct Queue {
    next_ticket: u64,
    tickets: HashMap<TicketKey, Ticket>,
    lanes: BTreeMap<Requirements, Lane>,
}

impl Queue {
    /// Adds a ticket.
    pub fn add(
        &mut self,
        now: Moment,
        requirements: Requirements,
        urgency: Urgency,
        history: AttemptHistory,
    ) -> TicketKey {
        let key = TicketKey(self.next_ticket);
        self.next_ticket += 1;
        self.lanes.entry(requirements).or_default().insert((urgency, key), ());
        self.tickets.insert(key, Ticket { requirements, urgency, history, work: None, since: now });
        key
    }

    /// Sets the remaining work of a ticket's item.
    pub fn set_work(&mut self, key: TicketKey, work: Work) {
        if let Some(ticket) = self.tickets.get_mut(&key) {
            ticket.work = Some(work);
        }
    }

    /// Remaining work of a ticket's item, if it is known.
    pub fn work(&self, key: TicketKey) -> Option<Work> {
        self.tickets.get(&key)?.work
    }

    /// Urgency of a ticket.
    pub fn urgency(&self, key: TicketKey) -> Option<Urgency> {
        self.tickets.get(&key).map(|ticket| ticket.urgency)
    }

    /// Removes a ticket. Returns when it was added, or `None` if it is not queued.
    pub fn remove(&mut self, key: TicketKey) -> Option<Moment> {
        let ticket = self.tickets.remove(&key)?;
        if let Some(lane) = self.lanes.get_mut(&ticket.requirements) {
            lane.remove(&(ticket.urgency, key));
            if lane.is_empty() {
                self.lanes.remove(&ticket.requirements);
            }
        }
        Some(ticket.since)
    }

    /// Number of tickets.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Whether there are no tickets.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Number of tickets in a lane.
    pub fn lane_len(&self, requirements: &Requirements) -> usize {
        self.lanes.get(requirements).map_or(0, Lane::len)
    }

    /// Returns the requirements of all lanes, the most urgent first.
    pub fn lanes_by_urgency(&self) -> Vec<Requirements> {
        let mut lanes: Vec<(Urgency, TicketKey, Requirements)> = self
            .lanes
            .iter()
            .filter_map(|(requirements, lane)| {
                let ((urgency, key), ()) = lane.first_key_value()?;
                Some((*urgency, *key, *requirements))
            })
            .collect();
        lanes.sort_unstable();
        lanes.into_iter().map(|(_, _, requirements)| requirements).collect()
    }

    /// Returns the `count` most urgent tickets of a lane, in order.
    pub fn most_urgent(&self, requirements: &Requirements, count: usize) -> Vec<TicketKey> {
        let lane = self.lanes.get(requirements).into_iter().flatten();
        lane.map(|((_, key), ())| *key).take(count).collect()
    }

    /// Number of tickets ahead of this one in its lane.
    pub fn queue_position(&self, key: TicketKey) -> Option<usize> {
        let ticket = self.tickets.get(&key)?;
        let lane = self.lanes.get(&ticket.requirements)?;
        Some(lane.range(..(ticket.urgency, key)).count())
    }

    /// Previous attempts of a ticket's item.
    pub fn history(&self, key: TicketKey) -> Option<&AttemptHistory> {
        self.tickets.get(&key).map(|ticket| &ticket.history)
    }
}

//! Texts that wait for a place, in order of urgency.
//!
//! All tickets of one need wait for the same servers. So they stand in one lane, and a lane whose
//! first ticket finds no place is left alone: a server that becomes free is offered to the most
//! urgent ticket that it fits, and nobody else is woken.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::HashMap;

use super::eligibility::AttemptHistory;
use super::eligibility::Requirements;
use crate::Moment;

/// A text that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketKey(u64);

/// How urgent a text is; the least comes first.
///
/// The rank of its tenant or route goes first, then the step that is due first, which holds up all
/// later ones of its trainer. Within a step the longest goes first: the last text that ends decides
/// when the step is whole (Graham, "Bounds on multiprocessing timing anomalies", 1969).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// Rank; 0 is the highest.
    pub priority: u8,
    /// When its step is due.
    pub deadline: Moment,
    /// Tokens that are expected to come out yet.
    pub remaining_tokens: Reverse<u64>,
}

#[derive(Debug, Clone)]
struct Ticket {
    requirements: Requirements,
    urgency: Urgency,
    history: AttemptHistory,
    since: Moment,
}

type Lane = BTreeMap<(Urgency, TicketKey), ()>;

/// Tickets by need, each lane in order of urgency.
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
        self.tickets.insert(key, Ticket { requirements, urgency, history, since: now });
        key
    }

    /// Takes a ticket out; since when it has waited, if it was there.
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

    /// Tickets that wait.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Tickets of a need.
    pub fn waiting_count(&self, requirements: &Requirements) -> usize {
        self.lanes.get(requirements).map_or(0, Lane::len)
    }

    /// The needs that somebody waits with, the most urgent first.
    pub fn lanes_by_urgency(&self) -> Vec<Requirements> {
        let mut lanes_by_urgency: Vec<(Urgency, TicketKey, Requirements)> = self
            .lanes
            .iter()
            .filter_map(|(requirements, lane)| {
                let ((urgency, key), ()) = lane.first_key_value()?;
                Some((*urgency, *key, *requirements))
            })
            .collect();
        lanes_by_urgency.sort_unstable();
        lanes_by_urgency.into_iter().map(|(_, _, requirements)| requirements).collect()
    }

    /// The most urgent tickets of a need, in order.
    pub fn most_urgent(&self, requirements: &Requirements, count: usize) -> Vec<TicketKey> {
        let lane = self.lanes.get(requirements).into_iter().flatten();
        lane.map(|((_, key), ())| *key).take(count).collect()
    }

    /// Tickets that are served before this one among those with the same need.
    pub fn queue_position(&self, key: TicketKey) -> Option<usize> {
        let ticket = self.tickets.get(&key)?;
        let lane = self.lanes.get(&ticket.requirements)?;
        Some(lane.range(..(ticket.urgency, key)).count())
    }

    /// What became of a ticket's text so far.
    pub fn history(&self, key: TicketKey) -> Option<&AttemptHistory> {
        self.tickets.get(&key).map(|ticket| &ticket.history)
    }
}

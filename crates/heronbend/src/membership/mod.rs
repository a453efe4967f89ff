//! Which daemons are alive, and rumours spread among them.
//!
//! A failure detector and gossip in the manner of SWIM (Das, Gupta, Motivala, "SWIM: Scalable
//! weakly-consistent infection-style process group membership protocol", 2002): each period a
//! daemon probes one other, directly and then through helpers; a daemon that does not answer is
//! suspected, may refute, and is declared dead after a while. Rumours ride on these messages. The
//! cost to one daemon does not grow with their number, but for the length of a rumour's life.
//!
//! Membership never carries safety: it decides whom to ask and whom to prefer. A frozen daemon that
//! wakes is dead to others until it refutes, and its ballots and orders are refused by registers
//! and fences.

mod detector;
mod messages;
mod rumours;
#[cfg(test)]
mod tests;

pub use detector::{Detector, DetectorConfig, Effect, MemberChange};
pub use messages::{
    may_be_alive, Candidate, ControlVersions, GossipMessage, GossipUpdate, Liveness, Member, Probe,
};

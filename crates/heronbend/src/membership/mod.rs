//! Membership of the daemons: failure detection and gossip.
//!
//! Follows SWIM (Das, Gupta, Motivala, "SWIM: Scalable weakly-consistent infection-style process
//! group membership protocol", 2002). In each period, a daemon probes one member, at first directly
//! and then indirectly through others. A member that does not acknowledge becomes suspect, and is
//! declared dead if it does not refute the suspicion in time. Gossip updates are piggybacked on
//! these messages. The load per daemon is independent of the number of members, except for the
//! number of times that an update is sent, which is logarithmic.
//!
//! Safety never depends on membership, which only decides whom to contact or prefer. A daemon that
//! resumes after a pause is dead to others until it refutes this; registers and fences reject its
//! outdated ballots and commands.

mod detector;
mod gossip_queue;
mod messages;
#[cfg(test)]
mod tests;

pub use detector::{Detector, DetectorConfig, Effect, MemberChange};
pub use messages::{
    may_be_alive, Candidate, ControlVersions, GossipMessage, GossipUpdate, Liveness, Member, Probe,
};

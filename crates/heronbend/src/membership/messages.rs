//! Datagrams between daemons.

use std::net::SocketAddr;

use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::identity::{NodeId, NodeName};
use crate::lifecycle::BackendPhase;

/// Whether a daemon is believed to be alive; later ones outweigh earlier ones.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
#[serde(rename_all = "kebab-case")]
pub enum Liveness {
    /// It answers.
    Alive,
    /// It did not answer a probe.
    Suspect,
    /// It announced that it stops.
    Left,
    /// It did not refute a suspicion in time.
    Dead,
}

/// A daemon as others know it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct Member {
    /// The daemon and its run.
    pub id: NodeId,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// Where callers reach it.
    pub http_address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Thousandths of a core that it may use; 0 where it does not say.
    #[serde(default)]
    #[musli(default)]
    pub processor_millis: u32,
    /// Raised by the daemon itself to refute a suspicion.
    pub refutation: u32,
    /// What is believed of it.
    pub liveness: Liveness,
}

impl Member {
    /// Whether this knowledge replaces `other` of the same name.
    pub fn supersedes(&self, other: &Self) -> bool {
        let rank = |member: &Self| (member.id.incarnation, member.refutation, member.liveness);
        rank(self) > rank(other)
    }
}

/// A daemon that may be given work, by the processor that it has for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The daemon.
    pub node: NodeId,
    /// Thousandths of a core that it may use; 0 where it does not say.
    pub processor_millis: u32,
}

impl From<&Member> for Candidate {
    fn from(member: &Member) -> Self {
        Self { node: member.id.clone(), processor_millis: member.processor_millis }
    }
}

/// Time after its start in which a daemon may not be known to all others yet.
const INTRODUCTION_MILLIS: u64 = 60_000;

/// Whether this very run of a daemon may be alive, by what `members` say.
///
/// A run that is not among them is one that has just started, or one that ended so long ago that it
/// was forgotten: incarnations are start times in milliseconds since the Unix epoch, as is `now`.
pub fn may_be_alive(members: &[Member], node: &NodeId, now: u64) -> bool {
    let just_started = now < node.incarnation.0.saturating_add(INTRODUCTION_MILLIS);
    match members.iter().find(|member| member.id.name == node.name) {
        Some(member) if member.id == *node => member.liveness <= Liveness::Suspect,
        Some(member) => member.id.incarnation < node.incarnation,
        None => just_started,
    }
}

/// Newest control data that a daemon holds; a peer that lags fetches it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct Head {
    /// Revision of the settings.
    pub settings_revision: u64,
    /// Sum of the shards' epochs; grows with each change of the shard map.
    pub shard_epochs: u64,
}

/// Something to spread.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub enum Rumour {
    /// A daemon's state.
    Member(Member),
    /// A back end's phase.
    Backend(BackendPhase),
}

/// The purpose of a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Probe {
    /// Asks for an acknowledgement.
    Ping {
        /// Number of the probe.
        sequence: u64,
    },
    /// Acknowledges a ping, directly or on behalf of another.
    Ack {
        /// Number of the probe.
        sequence: u64,
    },
    /// Asks the receiver to ping a third daemon.
    PingRequest {
        /// Number of the asker's probe.
        sequence: u64,
        /// Whom to ping.
        target: NodeName,
    },
}

/// A datagram.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Gossip {
    /// The sender.
    pub from: Member,
    /// Its purpose.
    pub probe: Probe,
    /// The sender's control data.
    pub head: Head,
    /// Rumours that ride along.
    #[musli(default)]
    pub rumours: Vec<Rumour>,
}

//! Membership state and gossip datagrams.

use std::net::SocketAddr;

use musli::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::identity::{NodeId, NodeName};
use crate::lifecycle::BackendPhase;

/// Liveness of a daemon. At equal incarnation and refutation number, later variants take
/// precedence.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode,
)]
#[serde(rename_all = "kebab-case")]
pub enum Liveness {
    /// The daemon acknowledges probes.
    Alive,
    /// The daemon did not acknowledge a probe.
    Suspect,
    /// The daemon announced its shutdown.
    Left,
    /// The daemon did not refute a suspicion in time.
    Dead,
}

/// A daemon as known to other daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct Member {
    /// Name and incarnation.
    pub id: NodeId,
    /// Address for other daemons.
    pub address: SocketAddr,
    /// Address for HTTP clients.
    pub http_address: SocketAddr,
    /// Zone of the daemon.
    pub zone: String,
    /// Region of the daemon.
    pub region: String,
    /// CPU allotment in thousandths of a core; 0 if unknown.
    #[serde(default)]
    #[musli(default)]
    pub processor_millis: u32,
    /// Refutation number, which the daemon increments to refute a suspicion.
    pub refutation: u32,
    /// Liveness.
    pub liveness: Liveness,
    /// Whether the daemon has announced that it is about to shut down. It never takes this back.
    #[serde(default)]
    #[musli(default)]
    pub is_draining: bool,
}

impl Member {
    /// Returns whether this state replaces `other`, a state of the daemon with the same name.
    pub fn supersedes(&self, other: &Self) -> bool {
        let rank = |member: &Self| {
            (member.id.incarnation, member.refutation, member.liveness, member.is_draining)
        };
        rank(self) > rank(other)
    }
}

/// A daemon that may be assigned work, and its capacity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Name and incarnation.
    pub node: NodeId,
    /// CPU allotment in thousandths of a core; 0 if unknown.
    pub processor_millis: u32,
}

impl From<&Member> for Candidate {
    fn from(member: &Member) -> Self {
        Self { node: member.id.clone(), processor_millis: member.processor_millis }
    }
}

/// Time after its start during which a daemon may be unknown to others.
const JOIN_GRACE_MILLIS: u64 = 60_000;

/// Returns whether this incarnation of a daemon may be alive according to `members`.
///
/// An unknown daemon may have just started, or has been dead for long enough to be forgotten. Its
/// incarnation tells which, as it is the start time. Incarnations and `now` are in milliseconds
/// since the Unix epoch.
pub fn may_be_alive(members: &[Member], node: &NodeId, now: u64) -> bool {
    let just_started = now < node.incarnation.0.saturating_add(JOIN_GRACE_MILLIS);
    match members.iter().find(|member| member.id.name == node.name) {
        Some(member) if member.id == *node => member.liveness <= Liveness::Suspect,
        Some(member) => member.id.incarnation < node.incarnation,
        None => just_started,
    }
}

/// Versions of the control data that a daemon holds. Peers with older versions fetch the data.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct ControlVersions {
    /// Revision of the settings.
    pub settings_revision: u64,
    /// Sum of the epochs of all shards, which grows with each change of the shard map.
    pub shard_epochs: u64,
}

/// An update that is spread by gossip.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub enum GossipUpdate {
    /// State of a daemon.
    Member(Member),
    /// Phase of a backend.
    Backend(BackendPhase),
}

/// Failure detector message of a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Probe {
    /// Requests an acknowledgement.
    Ping {
        /// Sequence number of the probe.
        sequence: u64,
    },
    /// Acknowledges a ping, directly or on behalf of another daemon.
    Ack {
        /// Sequence number of the probe.
        sequence: u64,
    },
    /// Requests an indirect probe: the receiver pings the target.
    PingRequest {
        /// Sequence number of the requester's probe.
        sequence: u64,
        /// The daemon to ping.
        target: NodeName,
    },
}

/// A gossip datagram.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct GossipMessage {
    /// State of the sender.
    pub from: Member,
    /// Failure detector message.
    pub probe: Probe,
    /// Versions of the sender's control data.
    pub head: ControlVersions,
    /// Piggybacked updates.
    #[musli(default)]
    pub rumours: Vec<GossipUpdate>,
}

//! Messages between daemons, encoded with `musli`'s wire format, which allows added fields.

use heronbend::identity::NodeName;
use heronbend::membership::Gossip;
use musli::{Decode, Encode};

use crate::batch::ItemResult;

/// A datagram.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Datagram {
    /// Of the failure detector.
    Gossip(Gossip),
    /// Something worth knowing early; it may be lost.
    Hint(Hint),
}

/// News that the store or a server would tell as well, only later.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Hint {
    /// A server has taken an order to load a version.
    OrderTaken {
        /// Who gave the order.
        holder: NodeName,
        /// The server.
        server: String,
        /// The model.
        model: String,
        /// The version.
        version: u64,
    },
    /// A daemon has taken the lease for orders.
    LeaseTaken {
        /// The daemon.
        holder: NodeName,
    },
    /// A batch job has been ended.
    JobEnded {
        /// The batch job.
        job: String,
    },
}

/// A call to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum PeerRequest {
    /// Reads settled results of a job that the peer runs.
    ReadResults {
        /// The batch job.
        job: String,
        /// Chunks that the reader has.
        chunks: u32,
        /// How long to wait for another one, in milliseconds.
        wait_millis: u64,
    },
}

/// The answer of a peer.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum PeerReply {
    /// Settled results.
    Results {
        /// All results from the first that the reader lacks.
        results: Vec<ItemResult>,
        /// Chunks that the reader then has.
        chunks: u32,
    },
    /// The peer does not run this job.
    NotOwner,
}

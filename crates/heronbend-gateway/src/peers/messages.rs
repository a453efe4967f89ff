//! Messages between daemons, encoded with `musli`'s wire format, which allows added fields.

use heronbend::identity::NodeName;
use heronbend::membership::Gossip;
use musli::{Decode, Encode};

use super::store_relay::{RelayedObject, StoreCall, StoreReply};
use crate::batch::ownership::Ownership;
use crate::batch::specification::JobSpecification;
use crate::batch::ItemResult;
use crate::versions::lease::LeaseRecord;

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
    /// A daemon has taken or renewed the lease for orders.
    LeaseRenewed {
        /// The revision of the renewal.
        revision: u64,
        /// What it wrote.
        record: LeaseRecord,
    },
    /// A batch job was taken in, changed hands or was ended.
    JobOwned {
        /// The batch job.
        job: String,
        /// What the store holds of it now.
        ownership: Ownership,
        /// At which revision.
        revision: u64,
    },
}

/// A call to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum PeerRequest {
    /// Asks the peer to run a job that was handed in for it.
    RunJob {
        /// What the store holds of it.
        ownership: Ownership,
        /// At which revision.
        revision: u64,
        /// Its items.
        specification: JobSpecification,
    },
    /// Makes a call to the store for a daemon that cannot reach it.
    Store(StoreCall),
    /// Follows the objects of a kind that the peer watches.
    Follow {
        /// Kind.
        kind: String,
        /// The store's revision up to which the follower knows them; 0 before it knows any.
        since: u64,
        /// How long to wait for news, in milliseconds.
        wait_millis: u64,
    },
    /// Reads settled results of a job that the peer runs.
    ReadResults {
        /// The batch job.
        job: String,
        /// Position of the first result that the reader wants.
        from: usize,
        /// How long to wait for another one, in milliseconds.
        wait_millis: u64,
    },
}

/// The answer of a peer.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum PeerReply {
    /// Settled results.
    Results {
        /// Results from the position on, as many as fit one page.
        results: Vec<ItemResult>,
        /// Results that are settled.
        settled: usize,
        /// Chunks that hold them.
        chunks: u32,
    },
    /// What became of a call to the store.
    Store(StoreReply),
    /// What has changed of the objects of a kind.
    News {
        /// Whether the objects are all that there are.
        is_whole: bool,
        /// Objects that were made or replaced.
        objects: Vec<RelayedObject>,
        /// Names of objects that were removed.
        removed: Vec<String>,
        /// The store's revision up to which this goes; 0 where there is no news.
        at: u64,
    },
    /// The peer runs the job.
    Running,
    /// The peer does not run this job, or does not watch this kind.
    NotOwner,
}

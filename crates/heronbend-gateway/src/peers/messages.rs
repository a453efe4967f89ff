//! Messages between daemons, encoded with `musli`'s wire format, which allows added fields.

use heronbend::identity::Incarnation;
use heronbend::identity::NodeId;
use heronbend::identity::NodeName;
use heronbend::membership::Gossip;
use heronbend::membership::Member;
use heronbend::quarantine::Report;
use heronbend::usage::Window;
use musli::{Decode, Encode};

use super::store_messages::{StoreCall, StoreReply};
use crate::batch::ownership::Ownership;
use crate::batch::specification::JobSpecification;
use crate::batch::ItemResult;
use crate::encoded_object::EncodedObject;
use crate::lease_state::LeaseName;
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
        /// The run of the server that took it; zero where servers do not say.
        #[musli(default)]
        incarnation: Incarnation,
    },
    /// A daemon has taken or renewed a lease.
    LeaseRenewed {
        /// The lease.
        #[musli(default)]
        lease: LeaseName,
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
        /// Whether its specification is being passed on to its owner.
        #[musli(default)]
        is_new: bool,
    },
    /// What a daemon has counted of its tenants' use so far.
    UsageCounted {
        /// The run of the daemon that counted.
        daemon: NodeId,
        /// The window.
        window: Window,
        /// Requests by tenant; other tenants may follow in another hint.
        counts: Vec<(String, u64)>,
    },
    /// Servers ended under some requests, or these were cleared of it.
    RequestsSuspected {
        /// What is known of each.
        reports: Vec<Report>,
    },
    /// The report of a window was accepted.
    UsageReported {
        /// The window.
        window: Window,
    },
}

/// A batch job as a daemon knows it.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct JobEntry {
    /// The batch job.
    pub job: String,
    /// Who runs it.
    pub ownership: Ownership,
    /// The store's revision of that.
    pub revision: u64,
}

/// A renewal of the lease for orders.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct LeaseRenewal {
    /// The store's revision of it.
    pub revision: u64,
    /// What it wrote.
    pub record: LeaseRecord,
}

/// All objects of a kind, as a daemon knows them.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct KindState {
    /// Kind.
    pub kind: String,
    /// The objects.
    pub objects: Vec<EncodedObject>,
    /// The store's revision up to which they are known.
    pub at: u64,
}

/// All objects of a kind, encoded and compressed.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct PackedKind {
    /// Kind.
    pub kind: String,
    /// What [`crate::compressed_update::pack`] made.
    pub packed: Vec<u8>,
}

/// A call to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum PeerRequest {
    /// Asks the peer to run a job that was handed in for it.
    RunJob {
        /// What the store holds of it.
        ownership: Box<Ownership>,
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
        /// Whether the follower checks what it is told by its digest, and understands
        /// [`PeerReply::Current`]. Daemons of an earlier build do neither.
        #[musli(default)]
        checks: bool,
    },
    /// Asks for the members and jobs that the peer knows.
    Introduce {
        /// Whether the objects that daemons follow are wanted as well.
        with_objects: bool,
        /// Whether the asker understands objects that are packed.
        #[musli(default)]
        takes_packed: bool,
        /// Whether the members are known to the asker, who needs only the rest.
        #[musli(default)]
        without_members: bool,
    },
    /// Asks whether the peer, which is taken for lost, still runs a job.
    ConfirmOwner {
        /// The batch job.
        job: String,
        /// The revision of the ownership that the asker knows.
        revision: u64,
    },
    /// Borrows permits to send requests to a cold server.
    Borrow {
        /// The server.
        server: String,
        /// Permits that would be used now.
        permits: u32,
    },
    /// Has the peer keep a server for one request that may end it, or gives it back.
    Isolate {
        /// The server.
        server: String,
        /// Whether it is given back.
        is_over: bool,
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
    /// Nothing has changed of the objects of a kind.
    NoNews,
    /// What has changed of the objects of a kind, encoded and compressed.
    News {
        /// What [`crate::compressed_update::pack`] made.
        packed: Vec<u8>,
        /// How long ago this was all that the store held, in milliseconds.
        #[musli(default)]
        age_millis: u64,
    },
    /// What the peer knows.
    Introduced {
        /// The other daemons.
        members: Vec<Member>,
        /// The batch jobs.
        jobs: Vec<JobEntry>,
        /// Whether these are all, but for those of the last moments.
        knows_jobs: bool,
        /// The newest renewal of the lease for orders that is known there.
        lease: Option<LeaseRenewal>,
        /// The same of the lease for duties.
        #[musli(default)]
        duty_lease: Option<LeaseRenewal>,
        /// Requests that servers ended under.
        #[musli(default)]
        suspects: Vec<Report>,
        /// Milliseconds since the Unix epoch, as windows of usage follow them there.
        #[musli(default)]
        time_millis: Option<u64>,
        /// The objects that daemons follow, where they were wanted and are known there; for daemons
        /// of an earlier build.
        kinds: Vec<KindState>,
        /// The same, packed.
        #[musli(default)]
        packed_kinds: Vec<PackedKind>,
        /// Whether the objects are known there and too many to be told with the rest: the asker follows
        /// them like any other daemon.
        #[musli(default)]
        has_many_objects: bool,
    },
    /// Permits that the peer lends; each may be used once.
    Lent {
        /// How many.
        permits: u32,
        /// Time until there may be more if there are none now, in milliseconds.
        again_millis: u64,
    },
    /// Whether the peer keeps the server for the asker.
    Isolated {
        /// Whether it does.
        is_granted: bool,
    },
    /// The peer runs the job.
    Running,
    /// The peer does not run this job, does not watch this kind, or does not lend for this server.
    NotOwner,
    /// The peer knows this kind, and has not heard of it lately; or it does not know it yet.
    Uninformed,
    /// Nothing has changed of the objects of a kind.
    Current {
        /// How long ago what the follower knows was all that the store held, in milliseconds.
        age_millis: u64,
    },
}

//! Messages between daemons, encoded with `musli`'s wire format, which allows added fields.

use heronbend::identity::Incarnation;
use heronbend::identity::NodeId;
use heronbend::identity::NodeName;
use heronbend::membership::GossipMessage;
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

/// A UDP datagram between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Datagram {
    /// A message of the failure detector.
    Gossip(GossipMessage),
    /// A best-effort hint.
    Hint(Hint),
}

/// Advance notice of a change that the receiver would otherwise learn later from the store or a
/// server.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Hint {
    /// A server accepted a command to load a version.
    OrderTaken {
        /// The lease holder that sent the command.
        holder: NodeName,
        /// The server.
        server: String,
        /// The model.
        model: String,
        /// The version of the model.
        version: u64,
        /// The incarnation of the server that accepted it; zero if servers do not report one.
        #[musli(default)]
        incarnation: Incarnation,
    },
    /// A daemon acquired or renewed a lease.
    LeaseRenewed {
        /// The lease.
        #[musli(default)]
        lease: LeaseName,
        /// The store's revision of the renewal.
        revision: u64,
        /// The record that was written.
        record: LeaseRecord,
    },
    /// A batch job was created, changed its owner or was finished.
    JobOwned {
        /// The batch job.
        job: String,
        /// Its ownership record in the store.
        ownership: Ownership,
        /// The store's revision of that record.
        revision: u64,
        /// Whether its specification is still being sent to its owner.
        #[musli(default)]
        is_new: bool,
    },
    /// Requests that a daemon has counted in a usage window so far.
    UsageCounted {
        /// The daemon that counted them.
        daemon: NodeId,
        /// The usage window.
        window: Window,
        /// Requests by tenant. Further tenants may follow in another hint.
        counts: Vec<(String, u64)>,
    },
    /// Requests that servers crashed on, or that were cleared of suspicion.
    RequestsSuspected {
        /// One report for each request.
        reports: Vec<Report>,
        /// Servers that the daemon found gone under requests that are not blamed for it.
        #[musli(default)]
        exited: Vec<String>,
    },
    /// The usage report of a window was accepted by the provider.
    UsageReported {
        /// The usage window.
        window: Window,
    },
    /// A daemon's demand for a service under pressure.
    DemandReported(DemandReport),
}

/// Demand of a daemon for a service.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct DemandReport {
    /// The daemon.
    pub daemon: NodeName,
    /// The service.
    pub service: String,
    /// When it was sent, in milliseconds on the daemon's clock.
    pub sent_millis: u64,
    /// Demand in thousandths of a request per second by priority class, most urgent first.
    pub millirequests_per_second: Vec<u64>,
    /// The tenants with the largest demand.
    #[musli(default)]
    pub tenants: Vec<ReportedTenant>,
}

/// Demand of a tenant at one daemon.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ReportedTenant {
    /// Hash of the tenant's name.
    pub tenant_hash: u64,
    /// Demand in thousandths of a request per second.
    #[musli(default)]
    pub millirequests_per_second: u64,
    /// Configured weight in thousandths.
    #[musli(default)]
    pub milliweight: u64,
}

/// A batch job and its owner, as known to a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct JobEntry {
    /// The batch job.
    pub job: String,
    /// Its ownership record.
    pub ownership: Ownership,
    /// The store's revision of that record.
    pub revision: u64,
}

/// A renewal of a lease.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct LeaseRenewal {
    /// The store's revision of the renewal.
    pub revision: u64,
    /// The record that was written.
    pub record: LeaseRecord,
}

/// A snapshot of all objects of a kind.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct KindSnapshot {
    /// Kind of the objects.
    pub kind: String,
    /// The objects.
    pub objects: Vec<EncodedObject>,
    /// The store's revision of the snapshot.
    pub at: u64,
}

/// A compressed snapshot of all objects of a kind.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct CompressedSnapshot {
    /// Kind of the objects.
    pub kind: String,
    /// The result of [`crate::compressed_update::encode`].
    pub packed: Vec<u8>,
}

/// A call to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum PeerRequest {
    /// Asks the peer to run a job that was assigned to it when it was submitted.
    RunJob {
        /// The job's ownership record in the store.
        ownership: Box<Ownership>,
        /// The store's revision of that record.
        revision: u64,
        /// The job's specification.
        specification: JobSpecification,
        /// Whether the store may hold results of the job. Daemons of an earlier build send only
        /// jobs without results.
        #[musli(default)]
        has_results: bool,
    },
    /// Asks the peer to relay a call to the store.
    Store(StoreCall),
    /// Long poll for an update of the objects of a kind.
    Follow {
        /// Kind of the objects.
        kind: String,
        /// The follower's current revision; 0 to request a snapshot.
        since: u64,
        /// How long to wait for an update, in milliseconds.
        wait_millis: u64,
        /// Whether the follower verifies the digest of updates and supports [`PeerReply::Current`].
        /// Daemons of an earlier build do neither.
        #[musli(default)]
        checks: bool,
    },
    /// Requests the state that a starting daemon needs: members, jobs, leases and suspected
    /// requests.
    Introduce {
        /// Whether to include the replicated objects.
        with_objects: bool,
        /// Whether the caller supports compressed snapshots.
        #[musli(default)]
        takes_packed: bool,
        /// Whether to omit the members, which the caller already knows.
        #[musli(default)]
        without_members: bool,
    },
    /// Asks whether the peer, which is considered dead, still runs a job.
    ConfirmOwner {
        /// The batch job.
        job: String,
        /// The revision of the ownership record that the caller knows.
        revision: u64,
    },
    /// Requests permits to send requests to a cold server.
    Borrow {
        /// The server.
        server: String,
        /// Number of permits that the caller could use now.
        permits: u32,
    },
    /// Asks the peer to reserve a server for one request that may crash it, or to release it.
    Isolate {
        /// The server.
        server: String,
        /// Whether to release the server.
        is_over: bool,
    },
    /// Reads committed results of a job that the peer runs.
    ReadResults {
        /// The batch job.
        job: String,
        /// Index of the first result to return.
        from: usize,
        /// How long to wait for a result at that index, in milliseconds.
        wait_millis: u64,
    },
}

/// The reply of a peer.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum PeerReply {
    /// Committed results of a job.
    Results {
        /// Results from the requested index, as many as fit into one page.
        results: Vec<ItemResult>,
        /// Number of committed results of the job.
        settled: usize,
        /// Number of stored chunks that contain them.
        chunks: u32,
    },
    /// The result of a relayed call to the store.
    Store(StoreReply),
    /// The follower is up to date. Sent to daemons of an earlier build.
    NoNews,
    /// An update of the objects of a kind.
    News {
        /// The result of [`crate::compressed_update::encode`].
        packed: Vec<u8>,
        /// Time since the data was last known to be current in the store, in milliseconds.
        #[musli(default)]
        age_millis: u64,
    },
    /// State for a starting daemon.
    Introduced {
        /// The other daemons.
        members: Vec<Member>,
        /// The batch jobs.
        jobs: Vec<JobEntry>,
        /// Whether the peer has loaded all jobs. Very recent ones may still be missing.
        knows_jobs: bool,
        /// The newest known renewal of the lease for commands.
        lease: Option<LeaseRenewal>,
        /// The newest known renewal of the lease for provider calls.
        #[musli(default)]
        duty_lease: Option<LeaseRenewal>,
        /// Requests that servers crashed on.
        #[musli(default)]
        suspects: Vec<Report>,
        /// The peer's time for usage windows, in milliseconds since the Unix epoch.
        #[musli(default)]
        time_millis: Option<u64>,
        /// Snapshots of the replicated objects, for callers that do not support compressed ones.
        kinds: Vec<KindSnapshot>,
        /// Compressed snapshots of the replicated objects.
        #[musli(default)]
        packed_kinds: Vec<CompressedSnapshot>,
        /// Whether the snapshots were omitted because of their size: the caller has to follow the
        /// kinds.
        #[musli(default)]
        has_many_objects: bool,
    },
    /// Permits that the peer grants. Each may be used once.
    Lent {
        /// Number of permits.
        permits: u32,
        /// Time in milliseconds after which to ask again if there are none.
        again_millis: u64,
    },
    /// Whether the peer reserved the server for the caller.
    Isolated {
        /// Whether the server is reserved.
        is_granted: bool,
    },
    /// The peer runs the job.
    Running,
    /// The peer does not run this job, does not serve this kind, or does not issue permits for this
    /// server.
    NotOwner,
    /// The peer has no data of this kind yet, or its data is stale.
    Uninformed,
    /// The follower is up to date.
    Current {
        /// Time since the data was last known to be current in the store, in milliseconds.
        age_millis: u64,
    },
}

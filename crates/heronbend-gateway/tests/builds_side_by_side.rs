//! Compatibility of messages and stored records with other builds. `samples` holds messages and
//! records encoded by the previous build.

mod support;

use std::path::PathBuf;
use std::rc::Rc;

use heronbend::identity::Incarnation;
use heronbend::identity::NodeName;
use heronbend::membership::ControlVersions;
use heronbend::membership::GossipMessage;
use heronbend::membership::GossipUpdate;
use heronbend::membership::Liveness;
use heronbend::membership::Probe;
use heronbend::usage::Window;
use heronbend_gateway::batch::ownership::Ownership;
use heronbend_gateway::batch::segment::Segment;
use heronbend_gateway::batch::JobSpecification;
use heronbend_gateway::compressed_update;
use heronbend_gateway::encoded_object::EncodedObject;
use heronbend_gateway::lease_state::LeaseName;
use heronbend_gateway::peers::messages::Datagram;
use heronbend_gateway::peers::messages::DemandReport;
use heronbend_gateway::peers::messages::JobEntry;
use heronbend_gateway::peers::messages::KindSnapshot;
use heronbend_gateway::peers::messages::LeaseRenewal;
use heronbend_gateway::peers::messages::ReportedTenant;
use heronbend_gateway::peers::store_messages::StoreCall;
use heronbend_gateway::peers::store_messages::StoreReply;
use heronbend_gateway::peers::Hint;
use heronbend_gateway::peers::PeerReply;
use heronbend_gateway::peers::PeerRequest;
use heronbend_gateway::ports::Object;
use heronbend_gateway::replica::Update;
use heronbend_gateway::versions::lease::LeaseRecord;
use musli::Decode;
use musli::Encode;
use serde_json::json;
use support::job;
use support::member;
use support::node;
use support::result;

fn sample(name: &str) -> Vec<u8> {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/samples").join(name);
    std::fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn object() -> Object {
    Object {
        name: "i-7".to_owned(),
        revision: 9,
        content: json!({ "slots": 6, "state": "ready" }),
        status: json!(null),
    }
}

fn ownership() -> Ownership {
    Ownership {
        owner: node("front-1"),
        total: 12,
        model: Some("m".to_owned()),
        expected_tokens: 900,
        tenant: None,
        homes: None,
        ended: false,
    }
}

fn lease() -> LeaseRecord {
    LeaseRecord { holder: NodeName("front-2".to_owned()), settled: true, renewals: 4 }
}

fn datagrams() -> Vec<(&'static str, Datagram)> {
    let gossip = GossipMessage {
        from: member(node("front-1"), Liveness::Alive),
        probe: Probe::PingRequest { sequence: 5, target: NodeName("front-3".to_owned()) },
        head: ControlVersions { settings_revision: 11, shard_epochs: 0 },
        rumours: vec![GossipUpdate::Member(member(node("front-2"), Liveness::Suspect))],
    };
    let command = Hint::OrderTaken {
        holder: NodeName("front-2".to_owned()),
        server: "i-7".to_owned(),
        model: "m".to_owned(),
        version: 3,
        incarnation: Incarnation::default(),
    };
    let renewed = Hint::LeaseRenewed { lease: LeaseName::Duties, revision: 8, record: lease() };
    let owned =
        Hint::JobOwned { job: "j1".to_owned(), ownership: ownership(), revision: 6, is_new: true };
    let counted = Hint::UsageCounted {
        daemon: node("front-1"),
        window: Window(7),
        counts: vec![("t".to_owned(), 3)],
    };
    let suspected = Hint::RequestsSuspected { reports: Vec::new(), exited: Vec::new() };
    let demand = DemandReport {
        daemon: NodeName("front-1".to_owned()),
        service: "app".to_owned(),
        sent_millis: 1_796_000_000_000,
        millirequests_per_second: vec![0, 12_500, 0, 300],
        tenants: vec![ReportedTenant {
            tenant_hash: 17,
            millirequests_per_second: 12_000,
            milliweight: 2_000,
        }],
    };
    vec![
        ("gossip", Datagram::Gossip(gossip)),
        ("order_taken", Datagram::Hint(command)),
        ("lease_renewed", Datagram::Hint(renewed)),
        ("job_owned", Datagram::Hint(owned)),
        ("usage_counted", Datagram::Hint(counted)),
        ("requests_suspected", Datagram::Hint(suspected)),
        ("demand_reported", Datagram::Hint(Hint::DemandReported(demand))),
        ("usage_reported", Datagram::Hint(Hint::UsageReported { window: Window(7) })),
    ]
}

fn requests() -> Vec<(&'static str, PeerRequest)> {
    let run = PeerRequest::RunJob {
        ownership: Box::new(ownership()),
        revision: 6,
        specification: job("j1", 2),
        has_results: false,
    };
    let replace = StoreCall::Replace {
        kind: "k".to_owned(),
        name: "n".to_owned(),
        content: "{}".to_owned(),
        revision: Some(4),
    };
    let follow = PeerRequest::Follow {
        kind: "servers".to_owned(),
        since: 44,
        wait_millis: 500,
        checks: false,
    };
    let introduce =
        PeerRequest::Introduce { with_objects: true, takes_packed: false, without_members: false };
    let confirm = PeerRequest::ConfirmOwner { job: "j1".to_owned(), revision: 6 };
    let read = PeerRequest::ReadResults { job: "j1".to_owned(), from: 2, wait_millis: 300 };
    vec![
        ("run_job", run),
        ("store_call", PeerRequest::Store(replace)),
        ("follow", follow),
        ("introduce", introduce),
        ("confirm_owner", confirm),
        ("borrow", PeerRequest::Borrow { server: "i-7".to_owned(), permits: 2 }),
        ("isolate", PeerRequest::Isolate { server: "i-7".to_owned(), is_over: true }),
        ("read_results", read),
    ]
}

fn replies() -> Vec<(&'static str, PeerReply)> {
    let state = KindSnapshot {
        kind: "servers".to_owned(),
        objects: vec![EncodedObject::from(&object())],
        at: 44,
    };
    let entry = JobEntry { job: "j1".to_owned(), ownership: ownership(), revision: 6 };
    let introduced = PeerReply::Introduced {
        members: vec![member(node("front-2"), Liveness::Alive)],
        jobs: vec![entry],
        knows_jobs: true,
        lease: Some(LeaseRenewal { revision: 8, record: lease() }),
        duty_lease: None,
        suspects: Vec::new(),
        time_millis: Some(17),
        kinds: vec![state],
        packed_kinds: Vec::new(),
        has_many_objects: false,
    };
    let results = PeerReply::Results { results: vec![result("item-1")], settled: 1, chunks: 1 };
    vec![
        ("results", results),
        ("store_reply", PeerReply::Store(StoreReply::Object(EncodedObject::from(&object())))),
        ("no_news", PeerReply::NoNews),
        ("news", PeerReply::News { packed: vec![1, 2, 3], age_millis: 0 }),
        ("introduced", introduced),
        ("lent", PeerReply::Lent { permits: 1, again_millis: 40 }),
        ("isolated", PeerReply::Isolated { is_granted: true }),
        ("running", PeerReply::Running),
        ("not_owner", PeerReply::NotOwner),
        ("uninformed", PeerReply::Uninformed),
    ]
}

fn update() -> Update {
    Update {
        is_snapshot: false,
        objects: vec![Rc::new(EncodedObject::from(&object()))],
        removed: vec!["i-6".to_owned()],
        at: 44,
        digest: None,
    }
}

#[test]
fn decodes_messages_of_the_previous_build() {
    for (name, datagram) in datagrams() {
        let decoded: Datagram = musli::wire::from_slice(&sample(name)).expect(name);
        assert_eq!(decoded, datagram, "{name}");
    }
    for (name, request) in requests() {
        let decoded: PeerRequest = musli::wire::from_slice(&sample(name)).expect(name);
        assert_eq!(decoded, request, "{name}");
    }
    for (name, reply) in replies() {
        let decoded: PeerReply = musli::wire::from_slice(&sample(name)).expect(name);
        assert_eq!(decoded, reply, "{name}");
    }
    assert_eq!(compressed_update::decode(&sample("packed_news")).unwrap(), update());
}

#[test]
fn decodes_records_of_the_previous_build() {
    let decoded: Ownership = serde_json::from_slice(&sample("ownership")).unwrap();
    assert_eq!(decoded, ownership());
    let decoded: LeaseRecord = serde_json::from_slice(&sample("lease")).unwrap();
    assert_eq!(decoded, lease());
    let decoded: JobSpecification = serde_json::from_slice(&sample("specification")).unwrap();
    assert_eq!(decoded, job("j1", 2));
    let decoded: Segment = serde_json::from_slice(&sample("segment")).unwrap();
    let segment = Segment {
        item: 1,
        after: 0,
        follows: Default::default(),
        events: vec!["a".to_owned()],
        versions: vec![3],
    };
    assert_eq!(decoded, segment);
}

/// Types of the previous build to which fields were added since, with variants in encoding order.
mod previous {
    use super::*;

    #[derive(Debug, PartialEq, Decode)]
    pub enum Reply {
        Results { results: Vec<heronbend_gateway::batch::ItemResult>, settled: usize, chunks: u32 },
        Store(StoreReply),
        NoNews,
        News { packed: Vec<u8> },
    }

    #[derive(Debug, PartialEq, Decode)]
    pub enum PreviousHint {
        OrderTaken { holder: NodeName, server: String, model: String, version: u64 },
    }
}

#[test]
fn the_previous_build_ignores_added_fields() {
    let reply = PeerReply::News { packed: vec![1, 2, 3], age_millis: 700 };
    let bytes = musli::wire::to_vec(&reply).unwrap();
    let decoded: previous::Reply = musli::wire::from_slice(&bytes).unwrap();
    assert_eq!(decoded, previous::Reply::News { packed: vec![1, 2, 3] });
    let command = Hint::OrderTaken {
        holder: NodeName("front-2".to_owned()),
        server: "i-7".to_owned(),
        model: "m".to_owned(),
        version: 3,
        incarnation: Incarnation(1_796_000_000_000),
    };
    let decoded: previous::PreviousHint =
        musli::wire::from_slice(&musli::wire::to_vec(&command).unwrap()).unwrap();
    let previous::PreviousHint::OrderTaken { version, .. } = decoded;
    assert_eq!(version, 3);
}

/// An unknown variant must fail the decoding of that message, without a panic.
#[test]
fn an_unknown_variant_is_a_decoding_error() {
    #[derive(Encode)]
    #[allow(dead_code, reason = "the place of the last one counts")]
    #[rustfmt::skip]
    enum Newer {
        A, B, C, D, E, F, G, H, I, J, K, L, M, N, O, P,
        Unheard { of: String },
    }
    let bytes = musli::wire::to_vec(&Newer::Unheard { of: "x".to_owned() }).unwrap();
    assert!(musli::wire::from_slice::<PeerRequest>(&bytes).is_err());
    assert!(musli::wire::from_slice::<Datagram>(&bytes).is_err());
}

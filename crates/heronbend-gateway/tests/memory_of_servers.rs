//! Memory used per registered server, as counted by the allocator.

mod support;

use std::alloc::System;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use cap::Cap;
use heronbend_gateway::directory::Directory;
use heronbend_gateway::directory::Server;
use heronbend_gateway::encoded_object::EncodedObject;
use heronbend_gateway::interner::Interner;
use heronbend_gateway::ports::Object;
use heronbend_gateway::replica::Replica;
use serde_json::json;
use serde_json::Value;
use support::server;

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

const SEED: u64 = 5;
const NOW: Duration = Duration::from_secs(1);
const MODELS: u64 = 8;
/// Memory budget of the control plane state of a daemon.
const CONTROL_PLANE_BYTES: usize = 128 << 20;
/// Number of servers in twice the largest supported fleet.
const MAX_SERVERS: usize = 20_000;
/// Servers may use a quarter of the budget.
const MAX_BYTES_PER_SERVER: usize = CONTROL_PLANE_BYTES / 4 / MAX_SERVERS;

fn name(number: usize) -> String {
    format!("i-{number:08x}")
}

/// A server that follows one of the models, at one of two versions.
fn server_with_models(number: usize) -> Server {
    let follows = number as u64 % MODELS;
    let version = |model| if model == follows { 7 + (number as u64 / MODELS) % 2 } else { 1 };
    let models: BTreeMap<String, u64> =
        (0..MODELS).map(|model| (format!("model-{model}"), version(model))).collect();
    Server { models: models.into(), ..server(&name(number), "writers") }
}

fn object(number: usize) -> Object {
    let model = |model| json!({"name": format!("model-{model}"), "version": 1, "adapters": []});
    Object {
        name: name(number),
        revision: 1,
        content: json!({
            "service": "writers", "address": "10.128.0.9:8080", "zone": "z", "version": "v1",
            "slots": 6, "state": "ready", "remaining_millis": 0, "part": "both", "sequence": 4,
            "models": (0..MODELS).map(model).collect::<Vec<_>>(),
        }),
        status: Value::Null,
    }
}

/// Returns the memory used per server with `servers` servers registered.
fn bytes_per_server(servers: usize) -> usize {
    let before = ALLOCATOR.allocated();
    let mut directory = Directory::new(SEED);
    let mut replica = Replica::default();
    for number in 0..servers {
        directory.insert(NOW, server_with_models(number));
    }
    let objects: Vec<Rc<EncodedObject>> =
        (0..servers).map(|number| Rc::new((&object(number)).into())).collect();
    replica.reset(&objects, 1);
    drop(objects);
    let bytes = (ALLOCATOR.allocated() - before) / servers;
    assert_eq!((directory.all().count(), replica.objects().count()), (servers, servers));
    bytes
}

/// A single test, because the allocator also counts allocations of concurrent tests.
#[test]
fn memory_per_server_is_bounded() {
    for servers in [MAX_SERVERS / 2, MAX_SERVERS] {
        let bytes = bytes_per_server(servers);
        println!("servers={servers} bytes_a_server={bytes}");
        assert!(bytes <= MAX_BYTES_PER_SERVER, "{bytes} bytes a server of {servers}");
    }
    equal_values_are_shared_and_unused_ones_dropped();
}

fn equal_values_are_shared_and_unused_ones_dropped() {
    let mut interner = Interner::default();
    let first = interner.intern(Rc::new(0));
    assert!(Rc::ptr_eq(&first, &interner.intern(Rc::new(0))));
    for value in 1..100_000 {
        interner.intern(Rc::new(value));
        assert!(interner.len() < 200, "{}", interner.len());
    }
    assert!(Rc::ptr_eq(&first, &interner.intern(Rc::new(0))));
}

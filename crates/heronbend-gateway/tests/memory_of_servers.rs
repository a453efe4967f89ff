//! What a daemon holds in memory of each listed server, counted by the allocator.

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
/// Bytes that a daemon may take for what it does beside serving.
const CONTROL_BYTES: usize = 128 << 20;
/// Servers of twice the largest fleet.
const MOST_SERVERS: usize = 20_000;
/// The servers may take a quarter of what control may; the rest is for members, jobs and what is on its
/// way.
const MAX_BYTES_A_SERVER: usize = CONTROL_BYTES / 4 / MOST_SERVERS;

fn name(number: usize) -> String {
    format!("i-{number:08x}")
}

/// A server that follows one model of eight, at one of two versions.
fn entry(number: usize) -> Server {
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

/// Bytes that are held of each server once so many are listed.
fn bytes_a_server(servers: usize) -> usize {
    let before = ALLOCATOR.allocated();
    let mut directory = Directory::new(SEED);
    let mut replica = Replica::default();
    for number in 0..servers {
        directory.insert(NOW, entry(number));
    }
    let objects: Vec<Rc<EncodedObject>> =
        (0..servers).map(|number| Rc::new((&object(number)).into())).collect();
    replica.reset(&objects, 1);
    drop(objects);
    let held = (ALLOCATOR.allocated() - before) / servers;
    assert_eq!((directory.all().count(), replica.objects().count()), (servers, servers));
    held
}

/// One test for all sizes: the allocator counts what others do at the same time as well.
#[test]
fn what_is_held_of_a_server_is_bounded_at_the_size_of_the_largest_fleet_and_twice_that() {
    for servers in [MOST_SERVERS / 2, MOST_SERVERS] {
        let held = bytes_a_server(servers);
        println!("servers={servers} bytes_a_server={held}");
        assert!(held <= MAX_BYTES_A_SERVER, "{held} bytes a server of {servers}");
    }
    equal_values_are_held_once_and_those_of_nobody_are_dropped();
}

fn equal_values_are_held_once_and_those_of_nobody_are_dropped() {
    let mut interner = Interner::default();
    let first = interner.intern(Rc::new(0));
    assert!(Rc::ptr_eq(&first, &interner.intern(Rc::new(0))));
    for value in 1..100_000 {
        interner.intern(Rc::new(value));
        assert!(interner.len() < 200, "{}", interner.len());
    }
    assert!(Rc::ptr_eq(&first, &interner.intern(Rc::new(0))));
}

//! Fault injection on real processes. The load generator checks responses against the ledgers of the
//! emulated backends.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use heronbend_http::http_types::{Method, StatusCode};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use support::{get_json, post, request, wait_until, Cluster, Daemon};

const AUTHORIZATION: (&str, &str) = ("authorization", "Bearer municipality-token");

fn sleep_seconds(seconds: u64) {
    std::thread::sleep(Duration::from_secs(seconds));
}

#[test]
fn killing_a_daemon_violates_no_guarantee() {
    let mut cluster = Cluster::start();
    cluster.start_trainer(1);
    cluster.wait_steps(1);
    let load = cluster.start_load(8, true, 1);
    sleep_seconds(2);
    cluster.daemons[0].process.kill();
    sleep_seconds(2);
    cluster.daemons[0].process.restart();
    let load_report = load.finish();
    assert!(load_report["answers_whole"].as_u64() > Some(500));
    cluster.wait_steps(2);
    cluster.wait_ready();
}

#[test]
fn resuming_a_suspended_daemon_violates_no_guarantee() {
    let mut cluster = Cluster::start();
    cluster.start_trainer(1);
    cluster.wait_steps(1);
    let load = cluster.start_load(14, true, 2);
    sleep_seconds(1);
    cluster.daemons[0].process.suspend();
    sleep_seconds(9);
    cluster.daemons[0].process.resume();
    load.finish();
    cluster.wait_steps(2);
    cluster.wait_ready();
}

#[test]
fn requests_succeed_while_the_platform_is_down() {
    let mut cluster = Cluster::start();
    cluster.start_trainer(1);
    cluster.wait_steps(1);
    cluster.set_platform_fault(r#"{"fault":"down"}"#);
    let load = cluster.start_load(6, false, 3);
    let load_report = load.finish();
    assert_eq!(load_report["answers_lost"], 0);
    cluster.set_platform_fault(r#"{"fault":"none"}"#);
    cluster.wait_steps(2);
}

#[test]
fn requests_succeed_while_the_platform_is_slow() {
    let mut cluster = Cluster::start();
    cluster.start_trainer(1);
    cluster.wait_steps(1);
    cluster.set_platform_fault(r#"{"fault":"slow","millis":800}"#);
    let load_report = cluster.start_load(5, false, 10).finish();
    assert_eq!(load_report["answers_lost"], 0);
    cluster.wait_steps(1);
    let status = get_json(cluster.daemons[0].admin, "/admin/status").unwrap_or_default();
    assert!(status["steps"].is_array(), "{status}");
}

#[test]
fn requests_succeed_while_the_machine_list_is_empty() {
    let mut cluster = Cluster::start();
    cluster.start_trainer(1);
    cluster.wait_steps(1);
    cluster.set_platform_fault(r#"{"fault":"forget_machines"}"#);
    let load_report = cluster.start_load(5, false, 9).finish();
    assert_eq!(load_report["refusal_codes"]["no_back_end"], serde_json::Value::Null);
    assert_eq!(load_report["refusal_codes"]["not_run"], serde_json::Value::Null);
}

#[test]
fn rolling_restart_loses_no_response() {
    let mut cluster = Cluster::start();
    cluster.start_trainer(1);
    cluster.wait_steps(1);
    let load = cluster.start_load(25, false, 4);
    for index in 0..cluster.daemons.len() {
        let status = cluster.daemons[index].process.terminate();
        assert!(status.success(), "{status}");
        cluster.daemons[index].process.restart();
        let daemon = &cluster.daemons[index];
        wait_until("the restarted daemon is ready", || daemon.is_ready());
    }
    let load_report = load.finish();
    assert_eq!(load_report["answers_lost"], 0);
    assert_eq!(load_report["answers_unknown"], 0);
    cluster.wait_steps(1);
}

#[test]
fn draining_engine_gets_no_new_requests_and_finishes_its_streams() {
    let mut cluster = Cluster::start();
    cluster.start_trainer(1);
    cluster.wait_steps(1);
    let load = cluster.start_load(7, false, 5);
    sleep_seconds(1);
    post(cluster.engines[0].1, "/leave", "");
    let load_report = load.finish();
    assert_eq!(load_report["new_work_while_leaving"], 0);
    assert_eq!(load_report["answers_lost"], 0);
}

#[test]
fn drain_command_reaches_every_daemon() {
    let cluster = Cluster::start();
    let (code, text) = cluster.command(1, &["drain", "engine-2"]);
    assert_eq!(code, 0, "{text}");
    for daemon in &cluster.daemons {
        wait_until("the engine is known to be leaving", || {
            let status = get_json(daemon.admin, "/admin/status").unwrap_or_default();
            let backends = status["backends"].as_array().cloned().unwrap_or_default();
            backends
                .iter()
                .any(|backend| backend["name"] == "engine-2" && backend["phase"] == "leaving")
        });
    }
}

#[test]
fn failed_weight_load_corrupts_no_sample() {
    let mut cluster = Cluster::start();
    cluster.start_trainer(1);
    cluster.wait_steps(1);
    let load = cluster.start_load(6, true, 6);
    sleep_seconds(1);
    post(cluster.engines[1].1, "/faults", r#"{"failing_loads":3}"#);
    load.finish();
    cluster.wait_steps(2);
}

#[test]
fn killing_an_engine_violates_no_guarantee() {
    let mut cluster = Cluster::start();
    cluster.start_trainer(1);
    cluster.wait_steps(1);
    let load = cluster.start_load(6, true, 7);
    sleep_seconds(1);
    cluster.engines[1].0.kill();
    sleep_seconds(1);
    cluster.engines[1].0.restart();
    load.finish();
    cluster.wait_steps(2);
}

#[test]
fn killed_trainer_continues_after_its_last_step() {
    let mut cluster = Cluster::start();
    cluster.start_trainer(1);
    cluster.wait_steps(1);
    let next = cluster.report()["step"].as_u64().unwrap_or(1) + 1;
    if let Some((process, _)) = &mut cluster.trainer {
        process.kill();
    }
    cluster.start_trainer(next);
    cluster.wait_steps(2);
    let report = cluster.report();
    assert_eq!(report["doubled"], 0);
    assert_eq!(report["wrong_version"], 0);
    assert_eq!(report["too_old"], 0);
}

#[test]
fn network_partition_violates_no_guarantee() {
    let mut cluster = Cluster::start();
    cluster.start_trainer(1);
    cluster.wait_steps(1);
    let load = cluster.start_load(12, true, 8);
    sleep_seconds(1);
    // A symmetric partition between the first daemon and the others, then an asymmetric one.
    cluster.drop_datagrams(0, &[1, 2]);
    cluster.drop_datagrams(1, &[0]);
    cluster.drop_datagrams(2, &[0]);
    sleep_seconds(4);
    cluster.drop_datagrams(0, &[]);
    sleep_seconds(3);
    cluster.drop_datagrams(1, &[]);
    cluster.drop_datagrams(2, &[]);
    load.finish();
    cluster.wait_steps(2);
    cluster.wait_ready();
}

#[test]
fn request_of_a_killed_daemon_has_unknown_outcome_and_is_not_retried() {
    let mut cluster = Cluster::start();
    cluster.applications[0].0.suspend();
    let address = cluster.daemons[0].http;
    let headers = [AUTHORIZATION, ("idempotency-key", "once")];
    let first =
        std::thread::spawn(move || request(Method::Post, address, "/alerts", &headers, "{}"));
    let other = cluster.daemons[1].http;
    // The first daemon holds the claim once it has dispatched the request.
    let admin = cluster.daemons[0].admin;
    wait_until("the first daemon has dispatched", || {
        let page = request(Method::Get, admin, "/metrics", &[], "").map(|(_, page)| page);
        page.is_some_and(|page| page.lines().any(|line| line == "heronbend_attempts_total 1"))
    });
    wait_until("the claim is held", || {
        let response = request(Method::Post, other, "/alerts", &headers, "{}");
        response.is_some_and(|(status, _)| status == StatusCode::Conflict)
    });
    cluster.daemons[0].process.kill();
    cluster.applications[0].0.resume();
    assert!(first.join().expect("no panic").is_none());
    wait_until("the holder is known to be dead", || {
        let response = request(Method::Post, other, "/alerts", &headers, "{}");
        response.is_some_and(|(status, body)| {
            status == StatusCode::BadGateway && body.contains("outcome_unknown")
        })
    });
    let ledger = get_json(cluster.applications[0].1, "/ledger").unwrap_or_default();
    let runs = ledger["executions"].as_array().map_or(0, Vec::len);
    assert!(runs <= 1, "{ledger}");
}

/// The other daemons that a daemon knows, formatted as `name#incarnation`.
fn peer_incarnations(status: &Value) -> impl Iterator<Item = String> + '_ {
    let members = status["members"].as_array().into_iter().flatten();
    members.filter_map(|member| {
        let (name, run) = (&member["id"]["name"], &member["id"]["incarnation"]);
        Some(format!("{}#{}", name.as_str()?, run.as_u64()?))
    })
}

#[test]
fn operator_rebuilds_shards_after_all_daemons_are_lost() {
    let mut cluster = Cluster::start();
    cluster.start_trainer(1);
    cluster.wait_steps(1);
    for daemon in &mut cluster.daemons {
        daemon.process.kill();
    }
    for daemon in &mut cluster.daemons {
        daemon.process.restart();
    }
    let status = |daemon: &Daemon| get_json(daemon.admin, "/admin/status").unwrap_or_default();
    let run = |daemon: &Daemon| status(daemon)["node"].as_str().map(str::to_owned);
    let runs: BTreeSet<String> = cluster.daemons.iter().filter_map(run).collect();
    assert_eq!(runs.len(), 3);
    for daemon in &cluster.daemons {
        // The machine list lags and still contains the earlier incarnations; until they are replaced no
        // shard counts as having lost its majority.
        wait_until("the daemons know each other's incarnations and the shard map", || {
            let status = status(daemon);
            let mut known: BTreeSet<String> = peer_incarnations(&status).collect();
            let others = known.len();
            known.extend(status["node"].as_str().map(str::to_owned));
            others == 2 && known == runs && status["shard_epochs"].as_u64() > Some(0)
        });
    }
    let (code, text) = cluster.command(0, &["shards", "rebuild"]);
    assert_eq!(code, 2, "the command must require --accept-loss: {text}");
    let (code, text) = cluster.command(0, &["shards", "rebuild", "--accept-loss"]);
    assert_eq!((code, text.as_str()), (0, "8 shards rebuilt\n"));
    cluster.wait_steps(2);
    let report = cluster.report();
    assert_eq!(report["doubled"], 0);
    assert_eq!(report["wrong_version"], 0);
}

#[test]
fn concurrent_settings_edits_are_both_applied() {
    let cluster = Cluster::start();
    let set = |daemon: usize, node: &str, field: &str| {
        cluster.command(daemon, &["settings", "set", node, field])
    };
    std::thread::scope(|scope| {
        let first = scope.spawn(|| set(0, "/pools/gauge", "max_in_flight=200"));
        let second = scope.spawn(|| set(1, "/pools/scorer", "max_in_flight=50"));
        for edit in [first, second] {
            let (code, text) = edit.join().expect("no panic");
            assert_eq!(code, 0, "{text}");
        }
    });
    for daemon in &cluster.daemons {
        wait_until("both edits are applied", || daemon.revision() == 3);
    }
    let (_, history) = cluster.command(2, &["settings", "history"]);
    assert_eq!(history.lines().count(), 3, "{history}");
    let (code, text) = set(2, "/pools/gauge", "max_in_flight=lots");
    assert_eq!(code, 3, "{text}");
    assert!(text.contains("/pools/gauge: max_in_flight"), "{text}");
}

#[test]
fn settings_edit_with_lost_response_is_applied_once() {
    let cluster = Cluster::start();
    cluster.set_platform_fault(r#"{"fault":"lose_answers"}"#);
    let (code, text) = cluster.command(0, &["settings", "set", "/pools/gauge", "max_in_flight=99"]);
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("revision 2"), "{text}");
    cluster.set_platform_fault(r#"{"fault":"none"}"#);
    for daemon in &cluster.daemons {
        wait_until("the edit is applied", || daemon.revision() == 2);
    }
}

/// Injects pairs of faults chosen by the seed, which `HERONBEND_FAULT_SEED` overrides.
#[test]
fn two_concurrent_faults_violate_no_guarantee() {
    const SEEDS: [u64; 2] = [11, 12];
    let seed_override =
        std::env::var("HERONBEND_FAULT_SEED").ok().and_then(|text| text.parse().ok());
    for seed in seed_override.map_or(SEEDS.to_vec(), |seed| vec![seed]) {
        println!("seed={seed}");
        let mut random = SmallRng::seed_from_u64(seed);
        let mut cluster = Cluster::start();
        cluster.start_trainer(1);
        cluster.wait_steps(1);
        let load = cluster.start_load(10, true, seed);
        sleep_seconds(1);
        let first = random.random_range(0..5);
        let second = (first + random.random_range(1..5)) % 5;
        println!("faults={first},{second}");
        for fault in [first, second] {
            inject_fault(&mut cluster, fault);
        }
        sleep_seconds(4);
        for fault in [first, second] {
            clear_fault(&mut cluster, fault);
        }
        load.finish();
        cluster.wait_steps(2);
        cluster.wait_ready();
    }
}

fn inject_fault(cluster: &mut Cluster, fault: usize) {
    match fault {
        0 => cluster.daemons[0].process.kill(),
        1 => cluster.daemons[1].process.suspend(),
        2 => cluster.set_platform_fault(r#"{"fault":"down"}"#),
        3 => cluster.engines[0].0.kill(),
        _ => cluster.drop_datagrams(2, &[0, 1]),
    }
}

fn clear_fault(cluster: &mut Cluster, fault: usize) {
    match fault {
        0 => cluster.daemons[0].process.restart(),
        1 => cluster.daemons[1].process.resume(),
        2 => cluster.set_platform_fault(r#"{"fault":"none"}"#),
        3 => cluster.engines[0].0.restart(),
        _ => cluster.drop_datagrams(2, &[]),
    }
}

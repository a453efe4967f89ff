//! Quarantine of a request that crashes every backend that executes it.

mod support;

use std::time::Duration;
use std::time::Instant;

use heronbend_http::http_types::Method;
use heronbend_http::http_types::StatusCode;
use support::post;
use support::request;
use support::wait_until;
use support::Cluster;

const AUTHORIZATION: (&str, &str) = ("authorization", "Bearer municipality-token");
const CRASHING_PATH: &str = "/stations/13/reading";
/// Number of crashes after which a request is quarantined.
const MAX_CRASHES: usize = 3;
/// Half of the delay of a request whose first probe is spent; six times that of the first probe.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(30);

/// Guards against the standalone daemon forgetting a request's crashes after one attempt, so that each
/// retry by the caller crashes one more server.
#[test]
fn request_that_crashes_its_servers_is_quarantined() {
    let mut cluster = Cluster::start();
    let daemon = cluster.daemons[0].http;
    let get =
        |path| request(Method::Get, daemon, path, &[AUTHORIZATION], "").map(|(status, _)| status);
    let (server, address) = &mut cluster.applications[0];
    let mut crashes = 0;
    for _ in 0..8 {
        wait_until("other requests are served", || {
            get("/stations/1/reading") == Some(StatusCode::Ok)
        });
        post(*address, "/faults", &format!(r#"{{"ends_on":"{CRASHING_PATH}"}}"#));
        let status = get(CRASHING_PATH).expect("a response");
        assert!(status.is_server_error(), "{status}");
        if status == StatusCode::BadGateway {
            wait_until("the server has exited", || server.has_exited());
            crashes += 1;
            server.restart();
        }
    }
    assert!(
        crashes <= MAX_CRASHES,
        "{crashes} servers crashed\n{}",
        cluster.daemons[0].process.log()
    );
}

/// Guards against holding the crash of a server against the requests of an accepted step.
#[test]
fn crashes_under_a_step_are_held_against_none_of_its_requests() {
    let mut cluster = Cluster::start();
    cluster.start_trainer(0);
    cluster.wait_steps(1);
    let (server, address) = &mut cluster.applications[1];
    post(*address, "/faults", r#"{"ends_on":"/score"}"#);
    wait_until("the scorer has crashed", || server.has_exited());
    server.restart();
    cluster.wait_steps(1);
    for daemon in &cluster.daemons {
        let log = daemon.process.log();
        assert!(!log.contains("event=backend_ended"), "{log}");
    }
}

/// Guards against spending a probe on an attempt that found no server, which prolongs the
/// quarantine of a request by a minute.
#[test]
fn a_probe_that_ran_nowhere_is_not_spent() {
    let mut cluster = Cluster::start();
    let daemon = cluster.daemons[0].http;
    let get =
        |path| request(Method::Get, daemon, path, &[AUTHORIZATION], "").map(|(status, _)| status);
    let (server, address) = &mut cluster.applications[0];
    let mut crashes = 0;
    while crashes < MAX_CRASHES {
        wait_until("other requests are served", || {
            get("/stations/1/reading") == Some(StatusCode::Ok)
        });
        post(*address, "/faults", &format!(r#"{{"ends_on":"{CRASHING_PATH}"}}"#));
        if get(CRASHING_PATH) == Some(StatusCode::BadGateway) {
            wait_until("the server has exited", || server.has_exited());
            crashes += 1;
            if crashes < MAX_CRASHES {
                server.restart();
            }
        }
    }
    // The first probe is due while no server is up.
    let log = || cluster.daemons[0].process.log();
    wait_until("the probe has found no server", || {
        get(CRASHING_PATH);
        log().contains("event=quarantine_probe ")
    });
    let since = Instant::now();
    server.restart();
    wait_until("the request is served", || get(CRASHING_PATH) == Some(StatusCode::Ok));
    let delay = since.elapsed();
    assert!(delay < MAX_PROBE_DELAY, "served after {delay:?}");
}

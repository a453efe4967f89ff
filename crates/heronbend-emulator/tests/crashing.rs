//! Quarantine of a request that crashes every backend that executes it.

mod support;

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

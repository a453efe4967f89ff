//! A request that ends each back end that begins to run it, before real processes.

mod support;

use heronbend_http::http_types::Method;
use heronbend_http::http_types::StatusCode;
use support::post;
use support::request;
use support::wait_until;
use support::Cluster;

const TOWN: (&str, &str) = ("authorization", "Bearer municipality-token");
const FATAL: &str = "/stations/13/reading";
/// Endings from which on a request is quarantined.
const MOST_ENDS: usize = 3;

/// What the standalone daemon learnt of a request ended with the one try: each time that its caller came
/// again it ended one more server.
#[test]
fn a_request_that_ends_its_servers_is_soon_sent_no_more() {
    let mut cluster = Cluster::start();
    let daemon = cluster.daemons[0].http;
    let get = |path| request(Method::Get, daemon, path, &[TOWN], "").map(|(status, _)| status);
    let (server, address) = &mut cluster.applications[0];
    let mut ends = 0;
    for _ in 0..8 {
        wait_until("others are served", || get("/stations/1/reading") == Some(StatusCode::Ok));
        post(*address, "/faults", &format!(r#"{{"ends_on":"{FATAL}"}}"#));
        let status = get(FATAL).expect("an answer");
        assert!(status.is_server_error(), "{status}");
        if status == StatusCode::BadGateway {
            wait_until("the server has ended", || server.has_ended());
            ends += 1;
            server.restart();
        }
    }
    assert!(ends <= MOST_ENDS, "{ends} servers ended\n{}", cluster.daemons[0].process.log());
}

//! What a daemon makes of bad, slow and vanishing clients and back ends.

mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use heronbend_http::http_types::{Method, StatusCode};
use serde_json::Value;
use support::{get_json, post, request, wait_until, Cluster};

const TOWN: &str = "authorization: Bearer municipality-token\r\n";
const TOWN_HEADER: (&str, &str) = ("authorization", "Bearer municipality-token");
const IDLE_CONNECTIONS: usize = 10_000;

/// Sends raw bytes, says that no more will come, and reads the whole answer.
fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("the daemon listens");
    stream.write_all(bytes).expect("the daemon reads");
    let _ = stream.shutdown(Shutdown::Write);
    read_answer(&mut stream)
}

fn read_answer(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

fn assert_refused(answer: &str, status: u16, code: &str) {
    assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{status} {code}: {answer}");
    assert!(answer.contains(&format!("\"code\":\"{code}\"")), "{code}: {answer}");
}

fn assert_serves(cluster: &Cluster) {
    let answer =
        request(Method::Get, cluster.daemons[0].http, "/stations/1/reading", &[TOWN_HEADER], "");
    assert!(answer.is_some_and(|(status, _)| status == StatusCode::Ok));
}

#[test]
fn bad_requests_get_a_clear_error_and_leave_the_daemon_serving() {
    let cluster = Cluster::start();
    let http = cluster.daemons[0].http;
    let (code, text) = cluster.command(0, &["settings", "set", "/", "max_body=1KiB"]);
    assert_eq!(code, 0, "{text}");
    wait_until("the limit is in force", || cluster.daemons[0].revision() == 2);
    let long = "x".repeat(9000);
    let cases: Vec<(String, u16, &str)> = vec![
        ("GARBAGE\r\n\r\n".into(), 400, "malformed_request"),
        ("GET / HTTP/1.1\r\n\r\n".into(), 400, "malformed_request"),
        ("GET / HTTP/1.0\r\nhost: a\r\n\r\n".into(), 505, "http_version"),
        ("BREW / HTTP/1.1\r\nhost: a\r\n\r\n".into(), 501, "unknown_method"),
        ("GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n".into(), 400, "malformed_request"),
        (
            "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab".into(),
            400,
            "malformed_request",
        ),
        (
            "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n"
                .into(),
            400,
            "malformed_request",
        ),
        (format!("GET / HTTP/1.1\r\nhost: a\r\nx-long: {long}\r\n\r\n"), 431, "head_too_large"),
        ("GET /stations/1 HTTP/1.1\r\nhost: a\r\n\r\n".into(), 401, "unknown_caller"),
        (format!("GET /nowhere HTTP/1.1\r\nhost: a\r\n{TOWN}\r\n"), 404, "unknown_route"),
        (format!("GET /calibration HTTP/1.1\r\nhost: a\r\n{TOWN}\r\n"), 403, "forbidden"),
        (post_text("/alerts", &"y".repeat(2000)), 413, "body_too_large"),
        (post_text("/v1/completions", "{not json"), 400, "invalid_json"),
        (post_text("/v1/completions", r#"{"model":"none","prompt":"a"}"#), 404, "unknown_model"),
        (post_text("/v1/completions", r#"{"model":"flood-bulletin"}"#), 400, "no_prompt"),
        (
            format!("POST /alerts HTTP/1.1\r\nhost: a\r\n{TOWN}content-length: 50\r\n\r\nshort"),
            400,
            "body_cut",
        ),
    ];
    for (bytes, status, code) in cases {
        assert_refused(&send_raw(http, bytes.as_bytes()), status, code);
        assert_serves(&cluster);
    }
    let mut not_utf8 = format!("GET / HTTP/1.1\r\nhost: a\r\n{TOWN}x-odd: ").into_bytes();
    not_utf8.extend(b"\xff\xfe\r\n\r\n");
    assert_refused(&send_raw(http, &not_utf8), 400, "malformed_request");
    let mut body = post_text("/v1/completions", "xx").into_bytes();
    let end = body.len();
    body[end - 2..].copy_from_slice(b"\xff\xfe");
    assert_refused(&send_raw(http, &body), 400, "invalid_json");
    assert_serves(&cluster);
}

fn post_text(path: &str, body: &str) -> String {
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\nhost: a\r\n{TOWN}content-length: {length}\r\n\r\n{body}")
}

#[test]
fn a_slow_sender_is_told_so() {
    let cluster = Cluster::start();
    let (code, text) = cluster.command(0, &["settings", "set", "/", "body_timeout=300ms"]);
    assert_eq!(code, 0, "{text}");
    wait_until("the limit is in force", || cluster.daemons[0].revision() == 2);
    let mut stream = TcpStream::connect(cluster.daemons[0].http).expect("the daemon listens");
    let head = format!("POST /alerts HTTP/1.1\r\nhost: a\r\n{TOWN}content-length: 50\r\n\r\n");
    stream.write_all(head.as_bytes()).expect("the daemon reads");
    // The daemon answers while it still waits for the body; the answer ends the exchange.
    let mut answer = [0; 4096];
    let count = stream.read(&mut answer).expect("an answer");
    assert_refused(&String::from_utf8_lossy(&answer[..count]), 408, "body_timeout");
}

#[test]
fn a_client_that_goes_cancels_the_engines_stream() {
    let cluster = Cluster::start();
    let body = r#"{"model":"flood-bulletin","prompt":"a","max_tokens":4000,"stream":true,"seed":"#;
    // Of several seeds some text is long enough to be caught in the middle.
    for seed in 0..20 {
        let mut stream = TcpStream::connect(cluster.daemons[0].http).expect("the daemon listens");
        let bytes = post_text("/v1/completions", &format!("{body}{seed}}}"));
        stream.write_all(bytes.as_bytes()).expect("the daemon reads");
        let mut first = [0; 256];
        assert!(stream.read(&mut first).is_ok_and(|count| count > 0));
    }
    wait_until("an engine notes a run that was not finished", || {
        cluster.engines.iter().any(|(_, address)| {
            let ledger = get_json(*address, "/ledger").unwrap_or_default();
            let runs = ledger["runs"].as_array().cloned().unwrap_or_default();
            runs.iter().any(|run| run["finished"] == false)
        })
    });
}

#[test]
fn a_text_goes_on_at_another_engine_and_says_so() {
    let mut cluster = Cluster::start();
    let http = cluster.daemons[0].http;
    // Slow engines, so that one is surely lost in the middle of a text.
    for (_, address) in &cluster.engines {
        post(*address, "/faults", r#"{"slowdown":20.0}"#);
    }
    let requests: Vec<_> = (0..12)
        .map(|seed| {
            let body = format!(
                r#"{{"model":"flood-bulletin","prompt":"p{seed}","max_tokens":4000,"seed":{seed}}}"#
            );
            std::thread::spawn(move || {
                request(Method::Post, http, "/v1/completions", &[TOWN_HEADER], &body)
            })
        })
        .collect();
    wait_until("both engines run something", || {
        let status = get_json(cluster.daemons[0].admin, "/admin/status").unwrap_or_default();
        let backends = status["backends"].as_array().cloned().unwrap_or_default();
        let busy = |backend: &Value| backend["running"].as_u64() > Some(0);
        backends.iter().filter(|backend| busy(backend)).count() == 2
    });
    cluster.engines[0].0.kill();
    post(cluster.engines[1].1, "/faults", r#"{"slowdown":1.0}"#);
    let mut resumed = 0;
    for request in requests {
        let (status, body) = request.join().expect("no panic").expect("a whole answer");
        assert_eq!(status, StatusCode::Ok, "{body}");
        let answer: Value = serde_json::from_str(&body).expect("JSON");
        let segments = answer["segments"].as_array().expect("segments").clone();
        resumed += usize::from(segments.len() > 1);
        let mut next = 0;
        for segment in segments {
            assert_eq!(segment["start"], next, "{body}");
            next = segment["end"].as_u64().expect("a number");
        }
        assert_eq!(answer["usage"]["completion_tokens"], next);
    }
    assert!(resumed > 0, "no text was resumed");
}

#[test]
fn an_answer_that_is_cut_short_is_never_passed_on_as_whole() {
    let cluster = Cluster::start();
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let mut stream = stream;
            let _ = stream.read(&mut [0; 4096]);
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhello");
        }
    });
    let machine = serde_json::json!({
        "name": "cutting-app", "kind": "application", "incarnation": 1, "pool": "gauge",
        "address": address, "peer_address": null, "zone": "shawinigan", "region": "mauricie",
        "phase": "live",
    });
    let registered = request(
        Method::Put,
        cluster.platform_address,
        "/machines/cutting-app",
        &[],
        &machine.to_string(),
    );
    assert!(registered.is_some_and(|(status, _)| status.is_success()));
    let daemon = &cluster.daemons[0];
    wait_until("the daemon knows the cutting server", || {
        let status = get_json(daemon.admin, "/admin/status").unwrap_or_default();
        status.to_string().contains("cutting-app")
    });
    for number in 0..30 {
        let path = format!("/stations/{number}/reading");
        let answer = request(Method::Get, daemon.http, &path, &[TOWN_HEADER], "");
        let (status, body) = answer.expect("an answer");
        assert!(status == StatusCode::BadGateway || body.contains(&path), "{status} {body}");
    }
}

#[test]
fn ten_thousand_idle_connections_leave_room_for_requests() {
    rlimit::increase_nofile_limit(u64::MAX).expect("the limit can be raised");
    let cluster = Cluster::start();
    let http = cluster.daemons[0].http;
    let idle: Vec<TcpStream> = (0..IDLE_CONNECTIONS)
        .map(|_| {
            TcpStream::connect_timeout(&http, Duration::from_secs(10)).expect("it is accepted")
        })
        .collect();
    for _ in 0..10 {
        assert_serves(&cluster);
    }
    drop(idle);
    assert_serves(&cluster);
}

//! Malformed requests, slow or disconnecting clients, and backends that fail mid-response.

mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use heronbend_http::http_types::{Method, StatusCode};
use serde_json::Value;
use support::{get_json, post, request, wait_until, Cluster};

const AUTHORIZATION_LINE: &str = "authorization: Bearer municipality-token\r\n";
const AUTHORIZATION: (&str, &str) = ("authorization", "Bearer municipality-token");
const IDLE_CONNECTIONS: usize = 10_000;

/// Sends raw bytes, shuts down the write side, and reads the response to its end.
fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("the daemon listens");
    stream.write_all(bytes).expect("the daemon reads");
    let _ = stream.shutdown(Shutdown::Write);
    read_response(&mut stream)
}

fn read_response(stream: &mut TcpStream) -> String {
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

fn assert_rejected(response: &str, status: u16, code: &str) {
    assert!(response.starts_with(&format!("HTTP/1.1 {status} ")), "{status} {code}: {response}");
    assert!(response.contains(&format!("\"code\":\"{code}\"")), "{code}: {response}");
}

fn assert_serves(cluster: &Cluster) {
    let response =
        request(Method::Get, cluster.daemons[0].http, "/stations/1/reading", &[AUTHORIZATION], "");
    assert!(response.is_some_and(|(status, _)| status == StatusCode::Ok));
}

#[test]
fn invalid_requests_are_rejected_and_the_daemon_keeps_serving() {
    let cluster = Cluster::start();
    let http = cluster.daemons[0].http;
    let (code, text) = cluster.command(0, &["settings", "set", "/", "max_body=1KiB"]);
    assert_eq!(code, 0, "{text}");
    wait_until("the daemon applies the limit", || cluster.daemons[0].revision() == 2);
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
        (format!("GET /nowhere HTTP/1.1\r\nhost: a\r\n{AUTHORIZATION_LINE}\r\n"), 404, "unknown_route"),
        (format!("GET /calibration HTTP/1.1\r\nhost: a\r\n{AUTHORIZATION_LINE}\r\n"), 403, "forbidden"),
        (raw_post("/alerts", &"y".repeat(2000)), 413, "body_too_large"),
        (raw_post("/v1/completions", "{not json"), 400, "invalid_json"),
        (raw_post("/v1/completions", r#"{"model":"none","prompt":"a"}"#), 404, "unknown_model"),
        (raw_post("/v1/completions", r#"{"model":"flood-bulletin"}"#), 400, "no_prompt"),
        (
            format!("POST /alerts HTTP/1.1\r\nhost: a\r\n{AUTHORIZATION_LINE}content-length: 50\r\n\r\nshort"),
            400,
            "body_cut",
        ),
    ];
    for (bytes, status, code) in cases {
        assert_rejected(&send_raw(http, bytes.as_bytes()), status, code);
        assert_serves(&cluster);
    }
    let mut not_utf8 =
        format!("GET / HTTP/1.1\r\nhost: a\r\n{AUTHORIZATION_LINE}x-odd: ").into_bytes();
    not_utf8.extend(b"\xff\xfe\r\n\r\n");
    assert_rejected(&send_raw(http, &not_utf8), 400, "malformed_request");
    let mut body = raw_post("/v1/completions", "xx").into_bytes();
    let end = body.len();
    body[end - 2..].copy_from_slice(b"\xff\xfe");
    assert_rejected(&send_raw(http, &body), 400, "invalid_json");
    assert_serves(&cluster);
}

fn raw_post(path: &str, body: &str) -> String {
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\nhost: a\r\n{AUTHORIZATION_LINE}content-length: {length}\r\n\r\n{body}")
}

#[test]
fn slow_request_body_times_out_with_408() {
    let cluster = Cluster::start();
    let (code, text) = cluster.command(0, &["settings", "set", "/", "body_timeout=300ms"]);
    assert_eq!(code, 0, "{text}");
    wait_until("the daemon applies the limit", || cluster.daemons[0].revision() == 2);
    let mut stream = TcpStream::connect(cluster.daemons[0].http).expect("the daemon listens");
    let head = format!(
        "POST /alerts HTTP/1.1\r\nhost: a\r\n{AUTHORIZATION_LINE}content-length: 50\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("the daemon reads");
    // The response arrives while the request body is still incomplete.
    let mut response = [0; 4096];
    let count = stream.read(&mut response).expect("a response");
    assert_rejected(&String::from_utf8_lossy(&response[..count]), 408, "body_timeout");
}

#[test]
fn client_disconnect_cancels_the_engine_stream() {
    let cluster = Cluster::start();
    let body = r#"{"model":"flood-bulletin","prompt":"a","max_tokens":4000,"stream":true,"seed":"#;
    // Several seeds, so that at least one generation is still running when its client disconnects.
    for seed in 0..20 {
        let mut stream = TcpStream::connect(cluster.daemons[0].http).expect("the daemon listens");
        let bytes = raw_post("/v1/completions", &format!("{body}{seed}}}"));
        stream.write_all(bytes.as_bytes()).expect("the daemon reads");
        let mut first = [0; 256];
        assert!(stream.read(&mut first).is_ok_and(|count| count > 0));
    }
    wait_until("an engine records an unfinished run", || {
        cluster.engines.iter().any(|(_, address)| {
            let ledger = get_json(*address, "/ledger").unwrap_or_default();
            let runs = ledger["runs"].as_array().cloned().unwrap_or_default();
            runs.iter().any(|run| run["finished"] == false)
        })
    });
}

#[test]
fn generation_resumes_on_another_engine_and_reports_its_segments() {
    let mut cluster = Cluster::start();
    let http = cluster.daemons[0].http;
    // Slows the engines down so that generations are still running when one engine is killed.
    for (_, address) in &cluster.engines {
        post(*address, "/faults", r#"{"slowdown":20.0}"#);
    }
    let requests: Vec<_> = (0..12)
        .map(|seed| {
            let body = format!(
                r#"{{"model":"flood-bulletin","prompt":"p{seed}","max_tokens":4000,"seed":{seed}}}"#
            );
            std::thread::spawn(move || {
                request(Method::Post, http, "/v1/completions", &[AUTHORIZATION], &body)
            })
        })
        .collect();
    wait_until("both engines are generating", || {
        let status = get_json(cluster.daemons[0].admin, "/admin/status").unwrap_or_default();
        let backends = status["backends"].as_array().cloned().unwrap_or_default();
        let busy = |backend: &Value| backend["running"].as_u64() > Some(0);
        backends.iter().filter(|backend| busy(backend)).count() == 2
    });
    cluster.engines[0].0.kill();
    post(cluster.engines[1].1, "/faults", r#"{"slowdown":1.0}"#);
    let mut resumed = 0;
    for request in requests {
        let (status, body) = request.join().expect("no panic").expect("a complete response");
        assert_eq!(status, StatusCode::Ok, "{body}");
        let response: Value = serde_json::from_str(&body).expect("JSON");
        let segments = response["segments"].as_array().expect("segments").clone();
        resumed += usize::from(segments.len() > 1);
        let mut next = 0;
        for segment in segments {
            assert_eq!(segment["start"], next, "{body}");
            next = segment["end"].as_u64().expect("a number");
        }
        assert_eq!(response["usage"]["completion_tokens"], next);
    }
    assert!(resumed > 0, "no generation was resumed");
}

#[test]
fn truncated_response_is_never_forwarded_as_complete() {
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
    let registration = serde_json::json!({
        "name": "cutting-app", "kind": "application", "incarnation": 1, "pool": "gauge",
        "address": address, "peer_address": null, "zone": "shawinigan", "region": "mauricie",
        "phase": "live",
    });
    let registered = request(
        Method::Put,
        cluster.platform_address,
        "/machines/cutting-app",
        &[],
        &registration.to_string(),
    );
    assert!(registered.is_some_and(|(status, _)| status.is_success()));
    let daemon = &cluster.daemons[0];
    wait_until("the daemon knows the truncating server", || {
        let status = get_json(daemon.admin, "/admin/status").unwrap_or_default();
        status.to_string().contains("cutting-app")
    });
    for number in 0..30 {
        let path = format!("/stations/{number}/reading");
        let response = request(Method::Get, daemon.http, &path, &[AUTHORIZATION], "");
        let (status, body) = response.expect("a response");
        assert!(status == StatusCode::BadGateway || body.contains(&path), "{status} {body}");
    }
}

#[test]
fn daemon_serves_requests_with_ten_thousand_idle_connections() {
    rlimit::increase_nofile_limit(u64::MAX).expect("the limit can be raised");
    let cluster = Cluster::start();
    let http = cluster.daemons[0].http;
    let idle: Vec<TcpStream> = (0..IDLE_CONNECTIONS)
        .map(|_| {
            TcpStream::connect_timeout(&http, Duration::from_secs(10))
                .expect("the connection is accepted")
        })
        .collect();
    for _ in 0..10 {
        assert_serves(&cluster);
    }
    drop(idle);
    assert_serves(&cluster);
}

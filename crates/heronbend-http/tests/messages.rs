//! Truncated, pipelined and malformed messages, with the client, the server and raw sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use assert_matches::assert_matches;
use heronbend_http::http_types::{Method, Request, Response, StatusCode, Url};
use heronbend_http::{
    json_response, read_body, stream_body, Client, ClientError, Connections, ServerLimits,
};
use smol::LocalExecutor;

const TIMEOUT: Duration = Duration::from_secs(10);
const MAX_BYTES: usize = 1 << 20;

/// Starts a server that sends fixed bytes on each connection and closes it.
fn serve_bytes(bytes: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let _ = stream.read(&mut [0; 1024]);
            let _ = stream.write_all(bytes);
        }
    });
    address
}

/// Starts a server that echoes request bodies and aborts a streamed response at `/stream`.
fn start_echo_server() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        let executor = Rc::new(LocalExecutor::new());
        let listener = smol::Async::new(listener).expect("a socket").into();
        let connections = Connections::default();
        let serving =
            connections.serve(executor.clone(), listener, ServerLimits::default(), handle);
        smol::block_on(executor.run(serving))
    });
    address
}

async fn handle(mut request: Request) -> Response {
    if request.url().path() == "/stream" {
        let (sender, body) = stream_body();
        sender.try_send(b"begun".to_vec());
        sender.try_abort("cut on purpose");
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(body);
        return response;
    }
    match read_body(&mut request, 1 << 16, TIMEOUT).await {
        Ok(body) => json_response(StatusCode::Ok, &body),
        Err(error) => error.response(),
    }
}

fn fetch(
    client: &Client,
    address: SocketAddr,
    path: &str,
    body: &str,
) -> Result<(StatusCode, Vec<u8>), ClientError> {
    let url = Url::parse(&format!("http://{address}{path}")).expect("a valid URL");
    let mut request = Request::new(Method::Post, url);
    request.set_body(body);
    smol::block_on(client.fetch(address, request, TIMEOUT, MAX_BYTES))
}

#[test]
fn a_truncated_response_is_an_error() {
    let address = serve_bytes(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhello");
    assert_matches!(fetch(&Client::new(), address, "/", ""), Err(ClientError::Exchange(_)));
}

#[test]
fn an_aborted_stream_is_an_error() {
    let address = start_echo_server();
    assert_matches!(fetch(&Client::new(), address, "/stream", ""), Err(ClientError::Exchange(_)));
}

#[test]
fn responses_without_or_with_two_lengths_are_rejected() {
    for bytes in [
        b"HTTP/1.1 200 OK\r\n\r\nhello".as_slice(),
        b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 3\r\n\r\nhello",
    ] {
        let address = serve_bytes(bytes);
        assert_matches!(fetch(&Client::new(), address, "/", ""), Err(ClientError::Head(_)));
    }
}

#[test]
fn a_failed_connection_is_reported_as_not_sent() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("bound");
    drop(listener);
    let error = fetch(&Client::new(), address, "/", "").expect_err("nothing listens");
    assert!(error.is_not_sent(), "{error}");
}

#[test]
fn bodies_of_all_sizes_are_echoed_over_one_connection() {
    let address = start_echo_server();
    let client = Client::new();
    for size in [0, 1, 100, 8 * 1024, 40_000] {
        let body = "b".repeat(size);
        let (status, bytes) = fetch(&client, address, "/", &body).expect("a full response");
        assert_eq!(status, StatusCode::Ok);
        let echoed: Vec<u8> = serde_json::from_slice(&bytes).expect("JSON");
        assert_eq!(echoed, body.as_bytes());
    }
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let mut stream = TcpStream::connect(start_echo_server()).expect("a connection");
    let requests = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\r\naPOST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 1\r\n\r\nb";
    stream.write_all(requests).expect("the server reads");
    let mut responses = String::new();
    stream.read_to_string(&mut responses).expect("a response");
    let first = responses.find("[97]").expect("the first body");
    let second = responses.find("[98]").expect("the second body");
    assert!(first < second);
}

#[test]
fn expect_100_continue_is_answered() {
    let mut stream = TcpStream::connect(start_echo_server()).expect("a connection");
    let head = b"POST / HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\nconnection: close\r\ncontent-length: 1\r\n\r\n";
    stream.write_all(head).expect("the server reads");
    let mut interim = [0; 25];
    stream.read_exact(&mut interim).expect("an interim response");
    assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
    stream.write_all(b"c").expect("the server reads");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("a response");
    assert!(response.ends_with("[99]"), "{response}");
}

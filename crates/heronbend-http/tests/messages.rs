//! Cut, doubled and malformed messages, between this crate's client and server and raw sockets.

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

/// A server on a thread of its own that answers each connection with fixed bytes and closes it.
fn answer_with(bytes: &'static [u8]) -> SocketAddr {
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

/// A server of this crate on a thread of its own: echoes bodies, and streams at `/stream`.
fn echo() -> SocketAddr {
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
fn an_answer_that_ends_early_is_an_error() {
    let address = answer_with(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhello");
    assert_matches!(fetch(&Client::new(), address, "/", ""), Err(ClientError::Exchange(_)));
}

#[test]
fn a_stream_that_is_aborted_is_an_error() {
    let address = echo();
    assert_matches!(fetch(&Client::new(), address, "/stream", ""), Err(ClientError::Exchange(_)));
}

#[test]
fn answers_without_or_with_two_lengths_are_refused() {
    for bytes in [
        b"HTTP/1.1 200 OK\r\n\r\nhello".as_slice(),
        b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 3\r\n\r\nhello",
    ] {
        let address = answer_with(bytes);
        assert_matches!(fetch(&Client::new(), address, "/", ""), Err(ClientError::Head(_)));
    }
}

#[test]
fn a_connection_that_cannot_be_made_was_not_sent_on() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("bound");
    drop(listener);
    let error = fetch(&Client::new(), address, "/", "").expect_err("nobody listens");
    assert!(error.is_not_sent(), "{error}");
}

#[test]
fn bodies_of_all_sizes_come_back_whole_over_one_connection() {
    let address = echo();
    let client = Client::new();
    for size in [0, 1, 100, 8 * 1024, 40_000] {
        let body = "b".repeat(size);
        let (status, bytes) = fetch(&client, address, "/", &body).expect("a whole answer");
        assert_eq!(status, StatusCode::Ok);
        let echoed: Vec<u8> = serde_json::from_slice(&bytes).expect("JSON");
        assert_eq!(echoed, body.as_bytes());
    }
}

#[test]
fn requests_that_follow_each_other_at_once_are_answered_in_order() {
    let mut stream = TcpStream::connect(echo()).expect("it listens");
    let requests = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\r\naPOST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 1\r\n\r\nb";
    stream.write_all(requests).expect("it reads");
    let mut answers = String::new();
    stream.read_to_string(&mut answers).expect("it answers");
    let first = answers.find("[97]").expect("the first body");
    let second = answers.find("[98]").expect("the second body");
    assert!(first < second);
}

#[test]
fn a_sender_that_waits_for_leave_gets_it() {
    let mut stream = TcpStream::connect(echo()).expect("it listens");
    let head = b"POST / HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\nconnection: close\r\ncontent-length: 1\r\n\r\n";
    stream.write_all(head).expect("it reads");
    let mut leave = [0; 25];
    stream.read_exact(&mut leave).expect("leave is given");
    assert_eq!(&leave, b"HTTP/1.1 100 Continue\r\n\r\n");
    stream.write_all(b"c").expect("it reads");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("it answers");
    assert!(answer.ends_with("[99]"), "{answer}");
}

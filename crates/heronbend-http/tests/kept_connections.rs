//! Which connections a client uses again.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use heronbend_http::http_types::{Method, Request, StatusCode, Url};
use heronbend_http::Client;

const TIMEOUT: Duration = Duration::from_secs(10);
const MAX_BYTES: usize = 1024;
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Reads the head of a request without a body; false where the connection ended before it.
fn read_head(stream: &mut TcpStream) -> bool {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(HEAD_END) {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return false,
        }
    }
    true
}

/// Serves one connection after another, and answers each request with its connection's number. What is
/// answered is never closed by the server, whatever `header` says.
fn serve(header: &'static str) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            std::thread::spawn(move || answer_all(stream, number, header));
        }
    });
    address
}

fn answer_all(mut stream: TcpStream, number: usize, header: &str) {
    while read_head(&mut stream) {
        let body = number.to_string();
        let reply =
            format!("HTTP/1.1 200 OK\r\n{header}content-length: {}\r\n\r\n{body}", body.len());
        if stream.write_all(reply.as_bytes()).is_err() {
            return;
        }
    }
}

/// The numbers of the connections by which two requests in a row were answered.
fn two_requests(address: SocketAddr) -> [String; 2] {
    let client = Client::new();
    let url = Url::parse(&format!("http://{address}/")).expect("an address makes a URL");
    [(); 2].map(|()| {
        let request = Request::new(Method::Get, url.clone());
        let answer = client.fetch(address, request, TIMEOUT, MAX_BYTES);
        let (status, body) = smol::block_on(answer).expect("an answer");
        assert_eq!(status, StatusCode::Ok);
        String::from_utf8(body).expect("a number")
    })
}

#[test]
fn a_connection_is_used_again() {
    assert_eq!(two_requests(serve("")), ["0", "0"]);
}

#[test]
fn a_connection_whose_server_said_that_it_closes_is_not_used_again() {
    assert_eq!(two_requests(serve("connection: close\r\n")), ["0", "1"]);
}

#[test]
fn a_list_of_options_is_read_as_such() {
    assert_eq!(two_requests(serve("Connection: Keep-Alive, Close\r\n")), ["0", "1"]);
}

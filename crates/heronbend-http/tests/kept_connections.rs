//! Reuse of connections by the client.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use heronbend_http::http_types::{Method, Request, StatusCode, Url};
use heronbend_http::Client;

const TIMEOUT: Duration = Duration::from_secs(10);
const MAX_BYTES: usize = 1024;
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Reads a request head; false if the connection ended first.
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

/// Starts a server that responds to each request with the number of its connection and an
/// additional `header`. It never closes a connection, even if `header` announces that.
fn serve(header: &'static str) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            std::thread::spawn(move || serve_connection(stream, number, header));
        }
    });
    address
}

fn serve_connection(mut stream: TcpStream, number: usize, header: &str) {
    while read_head(&mut stream) {
        let body = number.to_string();
        let response =
            format!("HTTP/1.1 200 OK\r\n{header}content-length: {}\r\n\r\n{body}", body.len());
        if stream.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

/// Sends two requests in sequence and returns the number of the connection that served each.
fn connections_of_two_requests(address: SocketAddr) -> [String; 2] {
    let client = Client::new();
    let url = Url::parse(&format!("http://{address}/")).expect("a valid URL");
    [(); 2].map(|()| {
        let request = Request::new(Method::Get, url.clone());
        let response = client.fetch(address, request, TIMEOUT, MAX_BYTES);
        let (status, body) = smol::block_on(response).expect("a response");
        assert_eq!(status, StatusCode::Ok);
        String::from_utf8(body).expect("a number")
    })
}

#[test]
fn an_idle_connection_is_reused() {
    assert_eq!(connections_of_two_requests(serve("")), ["0", "0"]);
}

#[test]
fn a_connection_with_connection_close_is_not_reused() {
    assert_eq!(connections_of_two_requests(serve("connection: close\r\n")), ["0", "1"]);
}

#[test]
fn connection_close_is_found_in_a_list_of_options() {
    assert_eq!(connections_of_two_requests(serve("Connection: Keep-Alive, Close\r\n")), ["0", "1"]);
}

//! Closing a listener does not reset connections that the kernel has already established.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use heronbend_http::http_types::{Request, Response, StatusCode};
use heronbend_http::{Connections, ServerLimits};
use smol::{LocalExecutor, Timer};

const ROUNDS: usize = 12;
const CLIENTS: usize = 8;
/// Time during which clients connect before the listener closes.
const TRAFFIC: Duration = Duration::from_millis(15);
const READ_TIMEOUT: Duration = Duration::from_secs(10);

async fn handle(_: Request) -> Response {
    Response::new(StatusCode::Ok)
}

/// Opens one connection after another until one is refused or `is_stopped` is set. Returns how many
/// were established but received no response.
fn connect_until_refused(address: SocketAddr, is_stopped: &AtomicBool) -> usize {
    let mut unanswered = 0;
    while !is_stopped.load(Ordering::Acquire) {
        let Ok(mut stream) = TcpStream::connect_timeout(&address, READ_TIMEOUT) else {
            return unanswered;
        };
        if stream.local_addr().is_ok_and(|local| local == address) {
            // The kernel chose the former listener's port for this socket, which connected to
            // itself.
            return unanswered;
        }
        stream.set_read_timeout(Some(READ_TIMEOUT)).expect("a timeout");
        let sent = stream.write_all(b"GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
        let mut response = Vec::new();
        let read = sent.and_then(|()| stream.read_to_end(&mut response));
        let is_answered = response.starts_with(b"HTTP/1.1 200");
        let is_reset = read.as_ref().is_err_and(|error| error.kind() == ErrorKind::ConnectionReset);
        unanswered += usize::from(!is_answered || is_reset);
    }
    unanswered
}

fn spawn_clients(address: SocketAddr, is_stopped: &Arc<AtomicBool>) -> Vec<JoinHandle<usize>> {
    let client = |_| {
        let is_stopped = is_stopped.clone();
        std::thread::spawn(move || connect_until_refused(address, &is_stopped))
    };
    (0..CLIENTS).map(client).collect()
}

/// Serves while clients keep connecting, closes the listener, and waits until all established
/// connections have ended. Returns the number of connections without a response.
fn serve_and_stop() -> usize {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("bound");
    let is_stopped = Arc::new(AtomicBool::new(false));
    let clients = spawn_clients(address, &is_stopped);
    let executor = Rc::new(LocalExecutor::new());
    let listener = smol::Async::new(listener).expect("a socket").into();
    let connections = Connections::default();
    smol::block_on(
        executor.run(async {
            let serving = {
                let (executor, connections) = (executor.clone(), connections.clone());
                async move {
                    connections.serve(executor, listener, ServerLimits::default(), handle).await
                }
            };
            let serving = executor.spawn(serving);
            Timer::after(TRAFFIC).await;
            connections.stop_accepting();
            serving.await.expect("the listener closes");
            while connections.open() > 0 {
                Timer::after(Duration::from_millis(1)).await;
            }
        }),
    );
    is_stopped.store(true, Ordering::Release);
    clients.into_iter().map(|client| client.join().expect("a client")).sum()
}

#[test]
fn every_established_connection_is_answered_when_the_listener_closes() {
    let unanswered: Vec<usize> = (0..ROUNDS).map(|_| serve_and_stop()).collect();
    let failed_rounds = unanswered.iter().filter(|count| **count > 0).count();
    assert_eq!(failed_rounds, 0, "unanswered by round: {unanswered:?}");
}

//! What the tests take for a process of their own.

mod support;

use std::net::TcpListener;
use std::time::Duration;

use support::emulator;
use support::words;
use support::Process;
use tempfile::TempDir;

/// Of test runs beside each other one drew a port that another one's engine had bound first. Whatever
/// listened there was taken for the process, so that the ledger of the other run's engine, with requests
/// of the same names, told of requests that this run's daemons had refused as not run.
#[test]
fn what_listens_at_a_taken_port_is_not_taken_for_the_process() {
    let taken = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = taken.local_addr().unwrap();
    let other = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_secs(1));
        drop(taken);
    });
    let directory = TempDir::new().unwrap();
    let arguments = words(&format!("app --name app-1 --pool gauge --listen {address}"));
    let process = Process::serve(directory.path(), "app", &emulator(), &arguments, address);
    assert!(process.log().contains("event=started"), "{}", process.log());
    other.join().unwrap();
}

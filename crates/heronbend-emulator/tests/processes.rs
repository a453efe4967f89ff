//! Tests of the helper that starts processes for the other tests.

mod support;

use std::net::TcpListener;
use std::time::Duration;

use support::emulator_path;
use support::split_arguments;
use support::Process;
use tempfile::TempDir;

/// Guards against mistaking a process of a concurrent test run that holds the port for the process that
/// was started.
#[test]
fn process_start_ignores_another_listener_on_its_port() {
    let taken = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = taken.local_addr().unwrap();
    let other = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_secs(1));
        drop(taken);
    });
    let directory = TempDir::new().unwrap();
    let arguments = split_arguments(&format!("app --name app-1 --pool gauge --listen {address}"));
    let process = Process::serve(directory.path(), "app", &emulator_path(), &arguments, address);
    assert!(process.log().contains("event=started"), "{}", process.log());
    other.join().unwrap();
}

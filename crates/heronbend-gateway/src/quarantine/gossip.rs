//! Exchanges suspect requests between daemons.

use std::rc::Rc;
use std::time::Duration;

use heronbend::quarantine::Fingerprint;
use heronbend::quarantine::Report;
use smol::Timer;

use super::crash_detection;
use super::on_change;
use super::Origin;
use crate::gateway::Gateway;
use crate::peers::Hint;

/// How long to collect reports before sending them. The connections to a crashed server break
/// within this time of each other.
const BATCHING_WINDOW: Duration = Duration::from_millis(15);
/// Keeps a datagram below 8 KiB; a report with a few crashes takes about 100 bytes.
const MAX_REPORTS_PER_DATAGRAM: usize = 30;
/// Keeps a datagram below 8 KiB; a server's identifier takes some tens of bytes.
const MAX_EXITS_PER_DATAGRAM: usize = 100;

/// Schedules a report of a request to all other daemons.
pub fn announce(gateway: &Rc<Gateway>, request: Fingerprint) {
    let is_first = !has_unsent(gateway);
    gateway.quarantine.unsent.borrow_mut().insert(request);
    if is_first {
        gateway.executor.spawn(send_batch(gateway.clone())).detach();
    }
}

/// Schedules to tell all other daemons that a server is gone.
///
/// Each would otherwise find out by requests of its own, or when the registration expires.
pub fn announce_exit(gateway: &Rc<Gateway>, server: &str) {
    let is_first = !has_unsent(gateway);
    gateway.quarantine.unsent_exits.borrow_mut().insert(server.to_owned());
    if is_first {
        gateway.executor.spawn(send_batch(gateway.clone())).detach();
    }
}

fn has_unsent(gateway: &Gateway) -> bool {
    let quarantine = &gateway.quarantine;
    !quarantine.unsent.borrow().is_empty() || !quarantine.unsent_exits.borrow().is_empty()
}

async fn send_batch(gateway: Rc<Gateway>) {
    Timer::after(BATCHING_WINDOW).await;
    let unsent = gateway.quarantine.unsent.take();
    let exits: Vec<String> = gateway.quarantine.unsent_exits.take().into_iter().collect();
    let reports: Vec<Report> = {
        let table = gateway.quarantine.table.borrow();
        unsent.into_iter().map(|request| table.report(request)).collect()
    };
    for reports in reports.chunks(MAX_REPORTS_PER_DATAGRAM) {
        let (reports, exited) = (reports.to_vec(), Vec::new());
        gateway.members.broadcast(Hint::RequestsSuspected { reports, exited });
    }
    for exited in exits.chunks(MAX_EXITS_PER_DATAGRAM) {
        let (reports, exited) = (Vec::new(), exited.to_vec());
        gateway.members.broadcast(Hint::RequestsSuspected { reports, exited });
    }
}

/// Marks servers as gone that another daemon found gone.
pub fn merge_exits(gateway: &Rc<Gateway>, exited: &[String]) {
    for server in exited {
        log::info!("event=server_exit_reported server={server}");
        crash_detection::note_server_gone(gateway, server);
    }
}

/// Merges reports from another daemon.
pub fn merge_reports(gateway: &Rc<Gateway>, reports: Vec<Report>) {
    for Report { request, endings } in reports {
        // The crash also counts for the other requests that ran on the server.
        for crash in endings.iter().filter(|crash| !crash.is_excused) {
            crash_detection::note_server_gone(gateway, &crash.server);
        }
        let now = gateway.now();
        let change = gateway.quarantine.table.borrow_mut().merge(now, request, &endings);
        on_change(gateway, request, change, Origin::Peer);
    }
}

/// Reports of all suspect requests, for a daemon that starts.
pub fn all_reports(gateway: &Gateway) -> Vec<Report> {
    gateway.quarantine.table.borrow().reports()
}

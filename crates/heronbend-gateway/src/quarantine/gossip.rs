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

/// Schedules a report of a request to all other daemons.
pub fn announce(gateway: &Rc<Gateway>, request: Fingerprint) {
    let mut unsent = gateway.quarantine.unsent.borrow_mut();
    let is_first_unsent = unsent.is_empty();
    unsent.insert(request);
    if is_first_unsent {
        gateway.executor.spawn(send_batch(gateway.clone())).detach();
    }
}

async fn send_batch(gateway: Rc<Gateway>) {
    Timer::after(BATCHING_WINDOW).await;
    let unsent = gateway.quarantine.unsent.take();
    let reports: Vec<Report> = {
        let table = gateway.quarantine.table.borrow();
        unsent.into_iter().map(|request| table.report(request)).collect()
    };
    for reports in reports.chunks(MAX_REPORTS_PER_DATAGRAM) {
        gateway.members.broadcast(Hint::RequestsSuspected { reports: reports.to_vec() });
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

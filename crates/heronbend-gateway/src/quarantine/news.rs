//! What daemons tell each other of requests that servers ended under.

use std::rc::Rc;
use std::time::Duration;

use heronbend::quarantine::Fingerprint;
use heronbend::quarantine::Report;
use smol::Timer;

use super::evidence;
use super::note;
use super::By;
use crate::gateway::Gateway;
use crate::peers::Hint;

/// Requests whose server goes break off within this of each other: one datagram tells of them.
const GATHERING: Duration = Duration::from_millis(15);
/// Reports in one datagram of 8 KiB; one with some endings takes 100 bytes.
const MOST_REPORTS: usize = 30;

/// Tells the other daemons in a moment what is known of a request.
pub fn tell(gateway: &Rc<Gateway>, request: Fingerprint) {
    let mut untold = gateway.quarantine.untold.borrow_mut();
    let is_first = untold.is_empty();
    untold.insert(request);
    if is_first {
        gateway.executor.spawn(tell_gathered(gateway.clone())).detach();
    }
}

async fn tell_gathered(gateway: Rc<Gateway>) {
    Timer::after(GATHERING).await;
    let untold = gateway.quarantine.untold.take();
    let reports: Vec<Report> = {
        let table = gateway.quarantine.table.borrow();
        untold.into_iter().map(|request| table.report(request)).collect()
    };
    for reports in reports.chunks(MOST_REPORTS) {
        gateway.members.tell_all(Hint::RequestsSuspected { reports: reports.to_vec() });
    }
}

/// Takes in what another daemon tells.
pub fn learn(gateway: &Rc<Gateway>, reports: Vec<Report>) {
    for Report { request, endings } in reports {
        // A server that went under one request went under those that ran beside it.
        for ending in endings.iter().filter(|ending| !ending.is_excused) {
            evidence::note_gone(gateway, &ending.server);
        }
        let now = gateway.now();
        let change = gateway.quarantine.table.borrow_mut().merge(now, request, &endings);
        note(gateway, request, change, By::Peer);
    }
}

/// What a daemon that starts is told.
pub fn reports(gateway: &Gateway) -> Vec<Report> {
    gateway.quarantine.table.borrow().reports()
}

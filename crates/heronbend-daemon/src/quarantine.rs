//! Quarantine of requests that crash backends.
//!
//! Drives [`heronbend::quarantine`]. Crashes are counted by request fingerprint, so that a caller
//! that retries does not crash one backend after another. The state is local to each thread: it is
//! not shared between daemons, and each thread grants its own probes.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::FutureExt;
use heronbend::lifecycle::Backend;
use heronbend::lifecycle::BackendName;
use heronbend::quarantine::table::Change;
use heronbend::quarantine::Fingerprint;
use heronbend::quarantine::Record;
use heronbend::quarantine::Refused;
use heronbend::quarantine::SendMode;
use heronbend::quarantine::Table;
use heronbend::Moment;
use smol::net::TcpStream;
use smol::Timer;

/// Delays before each connection probe. An exiting process may accept connections for a short time,
/// and the next one may start soon.
const CONNECT_PROBE_DELAYS: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(5), Duration::from_millis(55)];
/// Timeout of a connection probe.
const CONNECT_PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Quarantine state of one thread.
#[derive(Default)]
pub struct Quarantine {
    table: RefCell<Table>,
    /// Number of observed exits of each backend. It distinguishes runs with the same incarnation: a
    /// restarted backend may serve before the machine list shows its new incarnation.
    exit_counts: RefCell<BTreeMap<BackendName, u64>>,
}

impl Quarantine {
    /// Checks whether a request may be sent. Returns its fingerprint if it is a probe, which is
    /// recorded as sent.
    pub fn admit(
        &self,
        now: Moment,
        request: impl FnOnce() -> Fingerprint,
    ) -> Result<Option<Fingerprint>, Refused> {
        let mut table = self.table.borrow_mut();
        if table.is_empty() {
            return Ok(None);
        }
        let request = request();
        let is_probe = table.admission(now, request).send_mode()? == SendMode::Probe;
        if is_probe {
            change_probes(&mut table, now, request, |probes| probes + 1);
        }
        Ok(is_probe.then_some(request))
    }

    /// Takes a probe back that no backend ran.
    pub fn return_probe(&self, now: Moment, request: Fingerprint) {
        let mut table = self.table.borrow_mut();
        change_probes(&mut table, now, request, |probes| probes.saturating_sub(1));
    }

    /// Records that a backend's connection broke before the response was complete. Returns the
    /// identifier of its run, whose address [`Self::probe`] has to check.
    pub fn note_broken_connection(
        &self,
        now: Moment,
        request: Fingerprint,
        backend: &Backend,
    ) -> String {
        let run = self.run_id(backend);
        self.table.borrow_mut().note_broken_connection(now, request, &run);
        run
    }

    /// Probes whether a run of a backend still accepts connections.
    pub async fn probe(&self, now: Moment, backend: &Backend, run: &str) {
        for delay in CONNECT_PROBE_DELAYS {
            Timer::after(delay).await;
            if refuses_connections(backend.address).await {
                self.note_backend_gone(now, backend, run);
                return;
            }
        }
    }

    /// Returns the identifier of a backend's current run.
    pub fn run_id(&self, backend: &Backend) -> String {
        let exits = self.exit_counts.borrow().get(&backend.name).copied().unwrap_or(0);
        format!("{}#{}/{exits}", backend.name, backend.incarnation)
    }

    /// Records the end of a run, which several probes may find.
    fn note_backend_gone(&self, now: Moment, backend: &Backend, run: &str) {
        if self.run_id(backend) == run {
            *self.exit_counts.borrow_mut().entry(backend.name.clone()).or_default() += 1;
        }
        let mut table = self.table.borrow_mut();
        for (request, change) in table.note_server_gone(now, run) {
            log::info!("event=backend_ended backend={run} request={request} change={change:?}");
            if matches!(change, Change::Quarantined(_)) {
                table.set_record(now, request, Record { revision: 1, probes: 0 });
            }
        }
        table.expire(now);
    }

    /// Records a complete response, which clears the request's crash history.
    pub fn note_response(&self, request: impl FnOnce() -> Fingerprint) {
        let mut table = self.table.borrow_mut();
        if !table.is_empty() {
            table.clear(request());
        }
    }
}

/// Changes the number of probes of a request. Each thread counts its own.
fn change_probes(
    table: &mut Table,
    now: Moment,
    request: Fingerprint,
    change: impl FnOnce(usize) -> usize,
) {
    let known = table.record(request).unwrap_or(Record { revision: 0, probes: 0 });
    let record = Record { revision: known.revision + 1, probes: change(known.probes) };
    table.set_record(now, request, record);
    log::info!(
        "event=quarantine_probe request={request} before={} probes={}",
        known.probes,
        record.probes
    );
}

/// Returns whether an address refuses connections; a timeout counts as `false`.
async fn refuses_connections(address: SocketAddr) -> bool {
    let connecting = async { TcpStream::connect(address).await.is_err() };
    let timed_out = async {
        Timer::after(CONNECT_PROBE_TIMEOUT).await;
        false
    };
    connecting.or(timed_out).await
}

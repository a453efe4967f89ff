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
    /// Checks whether a request may be sent; an admitted probe is recorded as sent.
    pub fn admit(&self, now: Moment, request: impl FnOnce() -> Fingerprint) -> Result<(), Refused> {
        let mut table = self.table.borrow_mut();
        if table.is_empty() {
            return Ok(());
        }
        let request = request();
        if table.admission(now, request).send_mode()? == SendMode::Probe {
            grant_probe(&mut table, now, request);
        }
        Ok(())
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
    fn run_id(&self, backend: &Backend) -> String {
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

/// Records a probe as sent. Each thread grants its own.
fn grant_probe(table: &mut Table, now: Moment, request: Fingerprint) {
    let known = table.record(request).unwrap_or(Record { revision: 0, probes: 0 });
    let record = Record { revision: known.revision + 1, probes: known.probes + 1 };
    table.set_record(now, request, record);
    log::info!("event=quarantine_probe request={request} probe={}", record.probes);
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

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
use heronbend::quarantine::Admission;
use heronbend::quarantine::Fingerprint;
use heronbend::quarantine::Record;
use heronbend::quarantine::Table;
use heronbend::Moment;
use smol::net::TcpStream;
use smol::Timer;

/// Delays before each connection probe; an exiting process may accept connections for a short time.
const CONNECT_PROBE_DELAYS: [Duration; 2] = [Duration::ZERO, Duration::from_millis(60)];
/// Timeout of a connection probe.
const CONNECT_PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Rejection of a quarantined request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// Time after which the request may be retried.
    pub retry_after: Duration,
}

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
        match table.admission(now, request) {
            Admission::Allowed | Admission::Isolated => Ok(()),
            Admission::Refused { retry_after } => Err(Refused { retry_after }),
            Admission::Probe => {
                let known = table.record(request).unwrap_or(Record { revision: 0, probes: 0 });
                let record = Record { revision: known.revision + 1, probes: known.probes + 1 };
                table.set_record(now, request, record);
                log::info!("event=quarantine_probe request={request} probe={}", record.probes);
                Ok(())
            }
        }
    }

    /// Records that a backend's connection broke before the response was complete, and probes
    /// whether the backend still accepts connections.
    pub async fn note_broken_connection(
        &self,
        now: Moment,
        request: Fingerprint,
        backend: &Backend,
    ) {
        let run = self.run_id(backend);
        self.table.borrow_mut().note_broken_connection(now, request, &run);
        for delay in CONNECT_PROBE_DELAYS {
            Timer::after(delay).await;
            if refuses_connections(backend.address).await {
                self.note_backend_gone(now, &backend.name, &run);
                return;
            }
        }
    }

    /// Returns the identifier of a backend's current run.
    fn run_id(&self, backend: &Backend) -> String {
        let exits = self.exit_counts.borrow().get(&backend.name).copied().unwrap_or(0);
        format!("{}#{}/{exits}", backend.name, backend.incarnation)
    }

    fn note_backend_gone(&self, now: Moment, name: &BackendName, run: &str) {
        *self.exit_counts.borrow_mut().entry(name.clone()).or_default() += 1;
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

/// Returns whether an address refuses connections; a timeout counts as `false`.
async fn refuses_connections(address: SocketAddr) -> bool {
    let connecting = async { TcpStream::connect(address).await.is_err() };
    let timed_out = async {
        Timer::after(CONNECT_PROBE_TIMEOUT).await;
        false
    };
    connecting.or(timed_out).await
}

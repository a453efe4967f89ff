//! Requests that end the back ends that run them, as one thread of the daemon knows them.
//!
//! [`heronbend::quarantine`] decides. What is known is kept by request, so that a caller which comes again
//! does not end one back end after the other. Each thread counts for itself: there is no record that all
//! daemons share, and probes are granted here.

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

/// Rests before the looks at a back end's address: a process does not end all at one moment.
const LOOKS: [Duration; 2] = [Duration::ZERO, Duration::from_millis(60)];
/// Longest wait for a connection that shows whether a process listens.
const LOOK_TIMEOUT: Duration = Duration::from_millis(200);

/// A request that may not be sent to back ends now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// Time after which it may.
    pub retry_after: Duration,
}

/// What one thread knows of requests that back ends ended under.
#[derive(Default)]
pub struct Quarantine {
    table: RefCell<Table>,
    /// How often each back end was found gone. Its next run may answer at the address before the list of
    /// machines names it, so that the incarnation does not tell them apart.
    ends: RefCell<BTreeMap<BackendName, u64>>,
}

impl Quarantine {
    /// Whether a request may be sent to a back end. A probe counts as made.
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

    /// Notes that the connection of a request to a back end broke before its answer, and finds out whether
    /// the back end is gone.
    pub async fn note_break(&self, now: Moment, request: Fingerprint, backend: &Backend) {
        let run = self.run(backend);
        self.table.borrow_mut().note_broken_connection(now, request, &run);
        for rest in LOOKS {
            Timer::after(rest).await;
            if refuses(backend.address).await {
                self.note_end(now, &backend.name, &run);
                return;
            }
        }
    }

    /// Names the run of a back end that requests are sent to now.
    fn run(&self, backend: &Backend) -> String {
        let ends = self.ends.borrow().get(&backend.name).copied().unwrap_or(0);
        format!("{}#{}/{ends}", backend.name, backend.incarnation)
    }

    fn note_end(&self, now: Moment, name: &BackendName, run: &str) {
        *self.ends.borrow_mut().entry(name.clone()).or_default() += 1;
        let mut table = self.table.borrow_mut();
        for (request, change) in table.note_server_gone(now, run) {
            log::info!("event=backend_ended backend={run} request={request} change={change:?}");
            if matches!(change, Change::Quarantined(_)) {
                table.set_record(now, request, Record { revision: 1, probes: 0 });
            }
        }
        table.expire(now);
    }

    /// Notes a whole answer to a request: whatever ended back ends under it, it was not this.
    pub fn note_answer(&self, request: impl FnOnce() -> Fingerprint) {
        let mut table = self.table.borrow_mut();
        if !table.is_empty() {
            table.clear(request());
        }
    }
}

/// Whether nothing listens at an address.
async fn refuses(address: SocketAddr) -> bool {
    let connecting = async { TcpStream::connect(address).await.is_err() };
    let silent = async {
        Timer::after(LOOK_TIMEOUT).await;
        false
    };
    connecting.or(silent).await
}

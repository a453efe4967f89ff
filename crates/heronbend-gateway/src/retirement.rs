//! Program that retires machines with local disks, and signal handling.
//!
//! No persistent data is kept on these machines, so a request to retire one is confirmed at once.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use smol::{LocalExecutor, Timer};

use crate::gateway::{Gateway, Identity, Tuning};
use crate::ports::{Condition, Object, ObjectStore, Ports};
use crate::reflector::{self, ObjectHandler, Source};
use crate::service::StartError;

const BATCHING_DELAY: Duration = Duration::from_millis(200);
/// Delay before confirming the retirement of another machine, which normally does so itself.
const OTHER_MACHINE_DELAY: Duration = Duration::from_millis(1500);
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Receives one or more signals.
pub struct SignalListener(smol::Async<std::os::unix::net::UnixStream>);

impl SignalListener {
    /// Waits for the next signal.
    pub async fn wait(&self) {
        let mut byte = [0];
        let _ = self.0.read_with(|mut stream| io::Read::read(&mut stream, &mut byte)).await;
    }
}

/// Registers handlers for `signals`.
pub fn listen_for_signals(signals: &[i32]) -> io::Result<SignalListener> {
    let (receiver, sender) = std::os::unix::net::UnixStream::pair()?;
    for signal in signals {
        signal_hook::low_level::pipe::register(*signal, sender.try_clone()?)?;
    }
    Ok(SignalListener(smol::Async::new(receiver)?))
}

/// Logs reload requests. The settings of this program can't be reloaded; a change needs a restart.
pub async fn log_reloads(reload: SignalListener) {
    loop {
        reload.wait().await;
        log::info!("event=reload_requested outcome=\"nothing to reload\"");
    }
}

/// Runs the program until SIGTERM or SIGINT arrives.
pub fn run(
    identity: Identity,
    tuning: Tuning,
    ports: impl FnOnce(Rc<LocalExecutor<'static>>) -> Ports,
) -> Result<(), StartError> {
    let executor = Rc::new(LocalExecutor::new());
    let ports = ports(executor.clone());
    let stop = listen_for_signals(&[SIGTERM, SIGINT]).map_err(StartError::Signals)?;
    let reload = listen_for_signals(&[SIGHUP]).map_err(StartError::Signals)?;
    let gateway = Gateway::new(identity, ports, executor.clone(), tuning);
    smol::block_on(executor.run(async {
        log::info!("event=started node={}", gateway.identity.node);
        let kind = gateway.dialect.kinds().retirements;
        let sink = RetirementSink { gateway: gateway.clone(), pending: RefCell::default() };
        executor
            .spawn(reflector::run(gateway.clone(), kind, Source::Store, BATCHING_DELAY, sink))
            .detach();
        executor.spawn(log_reloads(reload)).detach();
        stop.wait().await;
        log::info!("event=stopped");
        log::logger().flush();
        Ok(())
    }))
}

struct RetirementSink {
    gateway: Rc<Gateway>,
    /// Machines whose retirement is being recorded.
    pending: RefCell<Vec<String>>,
}

/// Records that a machine holds no data, and retries until the store accepts it.
async fn retire(gateway: Rc<Gateway>, machine: String) {
    let kind = gateway.dialect.kinds().retirements;
    if machine != gateway.identity.node.name.0 {
        Timer::after(OTHER_MACHINE_DELAY).await;
        let current = gateway.store.get(kind, &machine).await;
        let is_retired = match current {
            Ok(Some(object)) => gateway.dialect.is_retired(&object.status),
            Ok(None) => true,
            Err(_) => false,
        };
        if is_retired {
            return;
        }
    }
    loop {
        let status = gateway.dialect.retired_status();
        let written = gateway.store.replace_status(kind, &machine, status, Condition::Any).await;
        log::info!(
            "event=retired machine={machine} outcome={:?}",
            written.as_ref().map(|_| "done")
        );
        match written {
            Ok(_) | Err(crate::ports::StoreError::NotFound) => return,
            Err(_) => Timer::after(RETRY_DELAY).await,
        };
    }
}

impl ObjectHandler for RetirementSink {
    fn retain(&self, names: &BTreeSet<String>) {
        self.pending.borrow_mut().retain(|pending| names.contains(pending));
    }

    fn upsert(&self, object: &Object) {
        if self.gateway.dialect.is_retired(&object.status) {
            return;
        }
        if self.pending.borrow().contains(&object.name) {
            return;
        }
        self.pending.borrow_mut().push(object.name.clone());
        let retiring = retire(self.gateway.clone(), object.name.clone());
        self.gateway.executor.spawn(retiring).detach();
    }

    fn remove(&self, name: &str) {
        self.pending.borrow_mut().retain(|pending| pending != name);
    }
}

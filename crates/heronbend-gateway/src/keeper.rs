//! The program on machines that have disks, and signals.
//!
//! Nothing that must last is on these machines' disks, so a request to empty one is met at once.

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

const GATHERING: Duration = Duration::from_millis(200);
/// How long a machine waits for the one that is meant to answer for itself.
const OTHERS_WAIT: Duration = Duration::from_millis(1500);
const RETRY: Duration = Duration::from_millis(500);

/// Waits for one of some signals.
pub struct SignalWait(smol::Async<std::os::unix::net::UnixStream>);

impl SignalWait {
    /// Returns when a signal has come.
    pub async fn wait(&self) {
        let mut byte = [0];
        let _ = self.0.read_with(|mut stream| io::Read::read(&mut stream, &mut byte)).await;
    }
}

/// Takes signals from now on.
pub fn stop_signal(signals: &[i32]) -> io::Result<SignalWait> {
    let (receiver, sender) = std::os::unix::net::UnixStream::pair()?;
    for signal in signals {
        signal_hook::low_level::pipe::register(*signal, sender.try_clone()?)?;
    }
    Ok(SignalWait(smol::Async::new(receiver)?))
}

/// Notes each request to reload. What the settings file says is fixed for a process's life: a new
/// address or name comes with a new process.
pub async fn log_reloads(reload: SignalWait) {
    loop {
        reload.wait().await;
        log::info!("event=reload_requested outcome=\"nothing to reload\"");
    }
}

/// Runs the program until it is told to stop.
pub fn run(
    identity: Identity,
    tuning: Tuning,
    ports: impl FnOnce(Rc<LocalExecutor<'static>>) -> Ports,
) -> Result<(), StartError> {
    let executor = Rc::new(LocalExecutor::new());
    let ports = ports(executor.clone());
    let stop = stop_signal(&[SIGTERM, SIGINT]).map_err(StartError::Signals)?;
    let reload = stop_signal(&[SIGHUP]).map_err(StartError::Signals)?;
    let gateway = Gateway::new(identity, ports, executor.clone(), tuning);
    smol::block_on(executor.run(async {
        log::info!("event=started node={}", gateway.identity.node);
        let kind = gateway.dialect.kinds().retirements;
        let sink = RetirementSink { gateway: gateway.clone(), open: RefCell::default() };
        executor
            .spawn(reflector::run(gateway.clone(), kind, Source::Store, GATHERING, sink))
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
    /// Machines that are being answered for.
    open: RefCell<Vec<String>>,
}

/// Records that a machine holds nothing any more.
async fn retire(gateway: Rc<Gateway>, machine: String) {
    let kind = gateway.dialect.kinds().retirements;
    if machine != gateway.identity.node.name.0 {
        Timer::after(OTHERS_WAIT).await;
        let current = gateway.store.get(kind, &machine).await;
        let is_answered = match current {
            Ok(Some(object)) => gateway.dialect.is_retired(&object.status),
            Ok(None) => true,
            Err(_) => false,
        };
        if is_answered {
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
            Err(_) => Timer::after(RETRY).await,
        };
    }
}

impl ObjectHandler for RetirementSink {
    fn retain(&self, names: &BTreeSet<String>) {
        self.open.borrow_mut().retain(|open| names.contains(open));
    }

    fn upsert(&self, object: &Object) {
        if self.gateway.dialect.is_retired(&object.status) {
            return;
        }
        if self.open.borrow().contains(&object.name) {
            return;
        }
        self.open.borrow_mut().push(object.name.clone());
        let retiring = retire(self.gateway.clone(), object.name.clone());
        self.gateway.executor.spawn(retiring).detach();
    }

    fn remove(&self, name: &str) {
        self.open.borrow_mut().retain(|open| open != name);
    }
}

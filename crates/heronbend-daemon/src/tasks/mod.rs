//! Background tasks of the daemon. Each runs on its own thread and drives a state machine of the
//! library.

pub mod backends;
pub mod membership;
pub mod register;
pub mod rollout;
pub mod settings;
pub mod shards;
pub mod telemetry;
pub mod weights;

use std::future::Future;
use std::rc::Rc;
use std::thread::{Builder, JoinHandle};

use smol::LocalExecutor;

/// Single-threaded executor of a task's thread.
pub type Executor = Rc<LocalExecutor<'static>>;

/// Whether an idle thread polls the shared reactor for I/O events.
///
/// An event found by another thread costs a wake-up, so only the latency-sensitive front threads
/// poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Polling {
    /// Polls the reactor.
    Reactor,
    /// Parks until woken.
    Parked,
}

/// Spawns a named thread that runs a task on its own executor until the process exits.
pub fn spawn_thread<F, D>(name: &str, polling: Polling, task: D) -> std::io::Result<JoinHandle<()>>
where
    D: FnOnce(Executor) -> F + Send + 'static,
    F: Future<Output = ()>,
{
    Builder::new().name(name.to_owned()).spawn(move || {
        let executor: Executor = Rc::new(LocalExecutor::new());
        let work = executor.run(task(executor.clone()));
        match polling {
            Polling::Reactor => smol::block_on(work),
            Polling::Parked => futures_lite::future::block_on(work),
        }
    })
}

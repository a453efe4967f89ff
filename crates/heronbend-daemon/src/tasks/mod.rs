//! The daemon's tasks: one thread each, driving the library's state machines.

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

/// The executor of a duty's thread.
pub type Executor = Rc<LocalExecutor<'static>>;

/// Whether a thread looks for I/O events itself while it has nothing to do.
///
/// All threads share one reactor, and an event found by another thread costs a wake-up. So only the
/// threads that serve callers look for events; the tasks are woken by them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Polling {
    /// Looks for events.
    Reactor,
    /// Sleeps until woken.
    Parked,
}

/// Starts a duty's thread, which runs until the process ends.
pub fn spawn_thread<F, D>(name: &str, polling: Polling, duty: D) -> std::io::Result<JoinHandle<()>>
where
    D: FnOnce(Executor) -> F + Send + 'static,
    F: Future<Output = ()>,
{
    Builder::new().name(name.to_owned()).spawn(move || {
        let executor: Executor = Rc::new(LocalExecutor::new());
        let work = executor.run(duty(executor.clone()));
        match polling {
            Polling::Reactor => smol::block_on(work),
            Polling::Parked => futures_lite::future::block_on(work),
        }
    })
}

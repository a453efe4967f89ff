//! The daemon's duties: one thread each, driving the library's state machines.

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

/// Starts a duty's thread, which runs until the process ends.
pub fn spawn_duty<F, D>(name: &str, duty: D) -> std::io::Result<JoinHandle<()>>
where
    D: FnOnce(Executor) -> F + Send + 'static,
    F: Future<Output = ()>,
{
    Builder::new().name(name.to_owned()).spawn(move || {
        let executor: Executor = Rc::new(LocalExecutor::new());
        smol::block_on(executor.run(duty(executor.clone())));
    })
}

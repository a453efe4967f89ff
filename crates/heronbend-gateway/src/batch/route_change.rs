//! Waits for changes of the configuration that concern what waits for a server.

use crate::configuration::Configuration;
use crate::gateway::Gateway;

/// Waits until `is_current` does not hold for the configuration in force.
pub async fn wait(gateway: &Gateway, is_current: impl Fn(&Configuration) -> bool) {
    loop {
        let changed = gateway.configuration_changed.listen();
        let configuration = gateway.configuration();
        if !configuration.is_some_and(|configuration| is_current(&configuration)) {
            return;
        }
        changed.await;
    }
}

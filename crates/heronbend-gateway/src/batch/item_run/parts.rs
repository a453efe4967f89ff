//! Which part of a split route runs an item.

use std::time::Duration;

use heronbend::placement::PartState;
use heronbend::placement::PartWait;
use heronbend::placement::Requirements;
use smol::Timer;

use super::ItemRun;
use crate::configuration::Configuration;
use crate::configuration::Route;

/// Interval between checks whether the part of a waiting item can run it.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

impl ItemRun<'_> {
    /// The service that runs the item. Selected once, and again if the route no longer includes it.
    pub(super) fn service(
        &mut self,
        configuration: &Configuration,
        route: &Route,
    ) -> Option<String> {
        if !self.service.as_ref().is_some_and(|service| route.includes(service)) {
            self.service = self.select_service(configuration, route);
        }
        self.service.clone()
    }

    /// The service that the weights pick, or the first one after it that has servers for the item.
    fn select_service(&self, configuration: &Configuration, route: &Route) -> Option<String> {
        let mut services = self.gateway.splitter.borrow_mut().pick(route);
        let is_served = |service: &String| {
            let requirements = self.requirements(configuration, route, service);
            self.part_state(&requirements) != PartState::Unserved
        };
        let first = if services.len() > 1 { services.iter().position(is_served) } else { None };
        if let Some(first @ 1..) = first {
            self.log_diverted(&services[0], &services[first]);
            services.swap(0, first);
        }
        services.into_iter().next()
    }

    pub(super) fn log_diverted(&self, service: &str, other: &str) {
        self.gateway.metrics.requests_diverted.inc();
        log::info!(
            "event=item_diverted job={} item={} service={service} to={other}",
            self.job.id,
            self.item.id
        );
    }

    /// Waits until the item should run at another part of its route, and returns that service.
    pub(super) async fn served_elsewhere(
        &self,
        requirements: Requirements,
        route: &Route,
        service: &str,
    ) -> String {
        if route.destinations.len() <= 1 {
            return std::future::pending().await;
        }
        let mut wait = PartWait::default();
        let mut services = Vec::new();
        loop {
            Timer::after(POLL_INTERVAL).await;
            let state = self.part_state(&requirements);
            if !wait.should_leave(self.gateway.now(), state) {
                continue;
            }
            let Some(configuration) = self.gateway.configuration() else {
                continue;
            };
            if services.is_empty() {
                services = self.gateway.splitter.borrow_mut().pick(route);
            }
            let is_serving = |other: &&String| {
                let requirements = self.requirements(&configuration, route, other);
                *other != service && self.part_state(&requirements) == PartState::Serving
            };
            if let Some(other) = services.iter().find(is_serving) {
                return other.clone();
            }
        }
    }

    fn part_state(&self, requirements: &Requirements) -> PartState {
        let placer = &mut self.gateway.directory.borrow_mut().placer;
        placer.part_state(self.gateway.now(), requirements)
    }
}

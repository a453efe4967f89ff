//! The services that a route is split between, as seen by one request.
//!
//! Which of them runs the request is decided by [`heronbend::placement::split`].

use std::collections::BTreeSet;

use heronbend::placement::Requirements;

use crate::directory::Server;
use crate::gateway::Gateway;
use crate::slot_queue;

/// The parts of a route that may run a request. There is at least one.
#[derive(Debug, Clone)]
pub struct RouteParts {
    /// Services; first that of the request's own part, which the weights picked.
    services: Vec<String>,
    /// Requirements at each of the services.
    requirements: Vec<Requirements>,
}

impl RouteParts {
    /// Parts of a request without a model. `services` are in the order of
    /// [`TrafficSplitter::pick`](crate::traffic_split::TrafficSplitter::pick); `None` if there are
    /// none.
    pub fn new(
        gateway: &Gateway,
        services: Vec<String>,
        allowed_regions: Option<&BTreeSet<String>>,
    ) -> Option<Self> {
        Self::with_models(gateway, services, |_| None, allowed_regions)
    }

    /// Parts of a request, of which a service may require a model: its name and minimum version.
    pub fn with_models<'a>(
        gateway: &Gateway,
        services: Vec<String>,
        model: impl Fn(&str) -> Option<(&'a str, u64)>,
        allowed_regions: Option<&BTreeSet<String>>,
    ) -> Option<Self> {
        let requirements = |service: &String| {
            slot_queue::requirements(gateway, service, model(service), allowed_regions)
        };
        let requirements: Vec<Requirements> = services.iter().map(requirements).collect();
        (!services.is_empty()).then_some(Self { services, requirements })
    }

    /// Service of the request's own part.
    pub fn service(&self) -> &str {
        &self.services[0]
    }

    /// Requirements at the request's own part, then at the other parts.
    pub fn all(&self) -> &[Requirements] {
        &self.requirements
    }

    /// Requirements at the request's own part only.
    pub fn own(&self) -> &[Requirements] {
        &self.requirements[..1]
    }

    /// The same parts, with the first one that may run the request now, whatever the load, as its
    /// own.
    pub fn served_first(&self, gateway: &Gateway) -> Self {
        let mut parts = self.clone();
        if parts.requirements.len() > 1 {
            let now = gateway.now();
            let placer = &mut gateway.directory.borrow_mut().placer;
            let is_served = |requirements| placer.has_eligible(now, requirements);
            let first = self.requirements.iter().position(is_served).unwrap_or(0);
            parts.services[..=first].rotate_right(1);
            parts.requirements[..=first].rotate_right(1);
        }
        parts
    }

    /// The request's own part without the others.
    pub fn without_others(mut self) -> Self {
        self.services.truncate(1);
        self.requirements.truncate(1);
        self
    }

    /// Logs and counts a request that is sent to a server of another part than its own.
    pub fn note_server(&self, gateway: &Gateway, id: &str, server: &Server) {
        if server.service == self.service() {
            return;
        }
        gateway.metrics.requests_diverted.inc();
        log::info!(
            "event=request_diverted id={id} service={} to={} server={}",
            self.service(),
            server.service,
            server.id
        );
    }
}

//! Which server runs an item: one that holds a version that fits, has a place free as far as this
//! daemon knows, and is not being avoided.

use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use heronbend::Moment;
use smol::Timer;

use super::specification::TrainerStep;
use crate::directory::Server;
use crate::gateway::Gateway;
use crate::versions::board::Fitness;

/// Longest wait until a place is looked for again without news.
const PLACE_WAIT: Duration = Duration::from_millis(100);

/// Finds places for the items of one job.
pub struct Placement<'a> {
    /// The daemon.
    pub gateway: &'a Rc<Gateway>,
    /// The step that the items are for, if any: it names the model and the oldest version.
    pub step: Option<&'a TrainerStep>,
}

impl Placement<'_> {
    /// Waits for a free place at a server that can run the item.
    pub async fn wait(&self, service: &str, avoided: &[String]) -> (Rc<Server>, Fitness) {
        loop {
            let changed = self.gateway.places_changed.listen();
            if let Some(place) = self.find(service, avoided) {
                return place;
            }
            changed
                .or(async {
                    Timer::after(PLACE_WAIT).await;
                })
                .await;
        }
    }

    /// A free place, if there is one; not at one of `avoided` unless there is no other.
    pub fn find(&self, service: &str, avoided: &[String]) -> Option<(Rc<Server>, Fitness)> {
        let now = self.gateway.now();
        let balancer = self.gateway.balancer.borrow();
        let candidates: Vec<Rc<Server>> = self
            .gateway
            .usable_servers(service)
            .into_iter()
            .filter(|server| balancer.in_flight(&server.id) < server.slots)
            .filter(|server| !balancer.is_avoided(now, &server.id))
            .filter(|server| self.fitness(now, server) != Fitness::Unfit)
            .collect();
        let zone = &self.gateway.identity.zone;
        let chosen = balancer
            .choose(now, &candidates, avoided, zone)
            .or_else(|| balancer.choose(now, &candidates, &[], zone))?;
        let fitness = self.fitness(now, &chosen);
        Some((chosen, fitness))
    }

    fn fitness(&self, now: Moment, server: &Server) -> Fitness {
        match self.step {
            Some(step) => self.gateway.versions.fitness(now, server, &step.model, step.min_version),
            None => Fitness::Listed,
        }
    }
}

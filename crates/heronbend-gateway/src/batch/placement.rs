//! Which server runs an item: one that holds a version that fits, has a place free as far as this
//! daemon knows, and is not being avoided.

use std::rc::Rc;
use std::time::Duration;

use heronbend::Moment;

use super::specification::TrainerStep;
use crate::directory::Server;
use crate::gateway::Gateway;
use crate::versions::board::Fitness;
use crate::wait;

/// Longest wait until a place is looked for again without news.
const PLACE_WAIT: Duration = Duration::from_millis(100);

/// How much a full batch slows each text of an engine, as a share of the time that one alone takes. A
/// slow server is taken only once the faster ones are nearly full: texts that are expected to be long
/// are placed first.
const BATCH_CROWDING: f64 = 0.2;
/// Another server counts as faster from this ratio on; paces vary by a few parts in a hundred.
const FASTER: f64 = 1.15;

/// Finds places for the items of one job.
pub struct Placement<'a> {
    /// The daemon.
    pub gateway: &'a Rc<Gateway>,
    /// The step that the items are for, if any: it names the model and the oldest version.
    pub step: Option<&'a TrainerStep>,
}

impl Placement<'_> {
    /// Waits for a free place at a server that can run the item; not at one that `failed` at it while
    /// there are others.
    pub async fn wait(
        &self,
        service: &str,
        avoided: &[String],
        failed: &[String],
    ) -> (Rc<Server>, Fitness) {
        loop {
            let changed = self.gateway.places_changed.listen();
            if let Some(place) = self.find(service, avoided, failed) {
                return place;
            }
            wait::at_most(PLACE_WAIT, changed).await;
        }
    }

    /// A free place, if there is one; not at one of `avoided` unless there is no other.
    pub fn find(
        &self,
        service: &str,
        avoided: &[String],
        failed: &[String],
    ) -> Option<(Rc<Server>, Fitness)> {
        let now = self.gateway.now();
        let mut usable = self.gateway.usable_servers(service);
        let is_other = |server: &Rc<Server>| !failed.contains(&server.id);
        let is_fit = |server: &Rc<Server>| self.fitness(now, server) != Fitness::Unfit;
        // Most items have failed nowhere: there is nothing to look through for them.
        if !failed.is_empty() && usable.iter().any(|server| is_other(server) && is_fit(server)) {
            usable.retain(is_other);
        }
        let chosen = self.choose(now, &self.candidates(now, usable.iter()), avoided)?;
        let fitness = self.fitness(now, &chosen);
        Some((chosen, fitness))
    }

    /// Time that a text with `remaining` events would win at the best other server with a free place,
    /// where an event takes `per_event` at its own.
    pub fn gain(&self, server: &Server, per_event: Duration, remaining: u32) -> Option<Duration> {
        let now = self.gateway.now();
        let all = self.gateway.usable_servers(&server.service);
        let candidates = self.candidates(now, all.iter());
        let here = [server.id.clone()];
        let other = self.choose(now, &candidates, &here).filter(|other| other.id != server.id)?;
        let balancer = self.gateway.balancer.borrow();
        let there = balancer.expected_latency(now, &other.id, &all)?;
        let is_faster = per_event.as_secs_f64() > there.as_secs_f64() * FASTER;
        is_faster.then(|| (per_event - there) * remaining)
    }

    /// Those of some servers that can run the item, have a free place and are not being avoided.
    fn candidates<'s>(
        &self,
        now: Moment,
        servers: impl Iterator<Item = &'s Rc<Server>>,
    ) -> Vec<Rc<Server>> {
        let balancer = self.gateway.balancer.borrow();
        servers
            .filter(|server| balancer.in_flight(&server.id) < server.slots)
            .filter(|server| !balancer.is_avoided(now, &server.id))
            .filter(|server| self.fitness(now, server) != Fitness::Unfit)
            .cloned()
            .collect()
    }

    fn choose(
        &self,
        now: Moment,
        candidates: &[Rc<Server>],
        avoided: &[String],
    ) -> Option<Rc<Server>> {
        let balancer = self.gateway.balancer.borrow();
        let zone = &self.gateway.identity.zone;
        balancer
            .choose_crowded(now, candidates, avoided, zone, BATCH_CROWDING)
            .or_else(|| balancer.choose_crowded(now, candidates, &[], zone, BATCH_CROWDING))
    }

    fn fitness(&self, now: Moment, server: &Server) -> Fitness {
        match self.step {
            Some(step) => self.gateway.versions.fitness(now, server, &step.model, step.min_version),
            None => Fitness::Listed,
        }
    }
}

//! Permits to send requests to cold servers.
//!
//! The total request rate to a cold server is limited across all daemons. One daemon issues the
//! permits for a server and the others request them. [`heronbend::rate_limit`] decides which daemon
//! issues permits and how many; this module exchanges the messages.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use heronbend::identity::NodeName;
use heronbend::membership::Liveness;
use heronbend::placement::ColdStartLimit;
use heronbend::placement::PermitDemand;
use heronbend::rate_limit;
use heronbend::rate_limit::MembershipView;
use heronbend::rate_limit::PermitGrant;
use heronbend::rate_limit::PermitIssuer;
use heronbend::rate_limit::Refusal;
use heronbend::Moment;

use crate::gateway::Gateway;
use crate::peers::client;
use crate::peers::PeerReply;
use crate::peers::PeerRequest;

/// Delay before permits are requested again from an issuer that did not answer or does not know the
/// server.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// How far the request rate of a cold server may exceed its limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStartMargin {
    /// Factor by which the rate limit is multiplied.
    pub overshoot: f64,
    /// Requests per second added to the product.
    pub slack: f64,
}

impl ColdStartMargin {
    /// Rate limit for a server with the given cold start limit.
    fn rate_limit(self, limit: ColdStartLimit) -> rate_limit::RateLimit {
        rate_limit::RateLimit::bounded(
            limit.per_second,
            limit.per_second * self.overshoot + self.slack,
        )
    }
}

/// Permits issued by this daemon, and the membership that determines the issuers.
pub struct Permits {
    view: RefCell<MembershipView>,
    issuer: RefCell<PermitIssuer>,
}

impl Permits {
    /// Creates the state of a daemon that has just started.
    pub fn new(local: NodeName) -> Self {
        Self {
            view: RefCell::new(MembershipView::new(local, Moment::ZERO)),
            issuer: RefCell::default(),
        }
    }

    /// Daemon that issues the permits for a key, according to the local membership view.
    pub fn issuer(&self, key: &str) -> NodeName {
        self.view.borrow().issuer(key).clone()
    }
}

/// Updates the membership view from the live and departed members.
pub fn update_members(gateway: &Gateway) {
    let members = gateway.members.all();
    let names = |predicate: &dyn Fn(Liveness) -> bool| -> Vec<NodeName> {
        let selected = members.iter().filter(|member| predicate(member.liveness));
        selected.map(|member| member.id.name.clone()).collect()
    };
    let alive = names(&|liveness| liveness <= Liveness::Suspect);
    let left = names(&|liveness| liveness == Liveness::Left);
    gateway.permits.view.borrow_mut().update(gateway.now(), alive, &left);
}

/// Requests permits for the cold servers that requests are waiting for.
pub fn request_permits(gateway: &Rc<Gateway>) {
    let now = gateway.now();
    let demands = gateway.directory.borrow_mut().placer.take_permit_demand(now);
    for demand in demands {
        let gateway = gateway.clone();
        let executor = gateway.executor.clone();
        executor.spawn(async move { request_for_server(&gateway, demand).await }).detach();
    }
}

async fn request_for_server(gateway: &Rc<Gateway>, demand: PermitDemand) {
    let requested_at = gateway.now();
    let server = gateway.directory.borrow().placer.id(demand.server).map(str::to_owned);
    let grant = match &server {
        Some(server) => request_grant(gateway, server, demand.permits).await,
        None => None,
    };
    let valid_until = requested_at + rate_limit::PERMIT_VALIDITY;
    let now = gateway.now();
    let (permits, retry_after) = match grant {
        // A grant that arrives late has expired.
        Some(grant) if grant.permits > 0 && now < valid_until => (grant.permits, None),
        Some(grant) => (0, Some(grant.retry_after)),
        None => (0, Some(RETRY_DELAY)),
    };
    gateway.metrics.permits_received.inc_by(u64::from(permits));
    {
        let placer = &mut gateway.directory.borrow_mut().placer;
        placer.record_permit_grant(now, demand.server, permits, valid_until, retry_after);
    }
    if permits > 0 {
        gateway.slot_queue.changed.notify(usize::MAX);
    }
}

/// Requests permits from the issuer for a server; `None` if it does not answer.
async fn request_grant(gateway: &Rc<Gateway>, server: &str, permits: u32) -> Option<PermitGrant> {
    let issuer = gateway.permits.issuer(server);
    if issuer == gateway.identity.node.name {
        return issue(gateway, server, permits).ok();
    }
    let issuer = gateway.members.find_by_name(&issuer)?;
    let request = PeerRequest::Borrow { server: server.to_owned(), permits };
    match client::call(gateway, &issuer, &request, Duration::ZERO).await? {
        PeerReply::Lent { permits, again_millis } => {
            Some(PermitGrant { permits, retry_after: Duration::from_millis(again_millis) })
        }
        _ => None,
    }
}

/// Handles a permit request of a peer.
pub fn handle_request(gateway: &Gateway, server: &str, permits: u32) -> PeerReply {
    match issue(gateway, server, permits) {
        Ok(grant) => PeerReply::Lent {
            permits: grant.permits,
            again_millis: u64::try_from(grant.retry_after.as_millis()).unwrap_or(u64::MAX),
        },
        Err(refusal) => {
            log::info!("event=permits_not_lent server={server} reason={refusal:?}");
            PeerReply::NotOwner
        }
    }
}

/// Issues permits for a server if this daemon is its issuer.
fn issue(gateway: &Gateway, server: &str, permits: u32) -> Result<PermitGrant, Refusal> {
    let now = gateway.now();
    if gateway.has_lost_all_peers() {
        return Err(Refusal::Minority);
    }
    match gateway.permits.view.borrow().may_issue(now, server) {
        Ok(()) => {}
        Err(Refusal::TakeoverPending(remaining)) => {
            return Ok(PermitGrant { permits: 0, retry_after: remaining })
        }
        Err(refusal) => return Err(refusal),
    }
    let cold_limit = {
        let placer = &gateway.directory.borrow().placer;
        placer.key(server).and_then(|key| placer.cold_start_limit(key))
    };
    // An unknown server gets no requests yet.
    let Some(cold_limit) = cold_limit else {
        return Ok(PermitGrant { permits: 0, retry_after: RETRY_DELAY });
    };
    let limit = gateway.tuning().cold_margin.rate_limit(cold_limit);
    let grant = gateway.permits.issuer.borrow_mut().issue(now, server, permits, limit);
    gateway.metrics.permits_issued.inc_by(u64::from(grant.permits));
    Ok(grant)
}

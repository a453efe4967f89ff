//! Permits to send requests to cold servers: borrowed from whoever lends them, and lent to others.
//!
//! What a cold server bears is bounded for all daemons together. [`heronbend::rate_limit`] decides who lends
//! and how much; this module passes the messages.

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

/// Rest before a lender is requested_at retry_after that did not answer, or that lends no more.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// What servers bear beyond what they say, in short.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStartMargin {
    /// A cold server gets no more in a second than this many times what it bears...
    pub overshoot: f64,
    /// ...and so many requests more.
    pub slack: f64,
}

impl ColdStartMargin {
    /// What may be lent for a server that bears so much.
    fn rate_limit(self, limit: ColdStartLimit) -> rate_limit::RateLimit {
        rate_limit::RateLimit::bounded(
            limit.per_second,
            limit.per_second * self.overshoot + self.slack,
        )
    }
}

/// The lender's part, and who lends.
pub struct Permits {
    view: RefCell<MembershipView>,
    issuer: RefCell<PermitIssuer>,
}

impl Permits {
    /// A daemon that has just started.
    pub fn new(local: NodeName) -> Self {
        Self {
            view: RefCell::new(MembershipView::new(local, Moment::ZERO)),
            issuer: RefCell::default(),
        }
    }

    /// The daemon that lends for a key, as far as is known here.
    pub fn issuer(&self, key: &str) -> NodeName {
        self.view.borrow().issuer(key).clone()
    }
}

/// Takes in which daemons are alive.
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

/// Asks for permits for the cold servers that requests wait for.
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
        // Answers that come late are of no use: what they lend is over.
        Some(grant) if grant.permits > 0 && now < valid_until => (grant.permits, None),
        Some(grant) => (0, Some(grant.retry_after)),
        None => (0, Some(RETRY_DELAY)),
    };
    gateway.metrics.permits_borrowed.inc_by(u64::from(permits));
    {
        let placer = &mut gateway.directory.borrow_mut().placer;
        placer.record_permit_grant(now, demand.server, permits, valid_until, retry_after);
    }
    if permits > 0 {
        gateway.slot_queue.changed.notify(usize::MAX);
    }
}

/// What the lender for a server lends; nothing where it does not answer.
async fn request_grant(gateway: &Rc<Gateway>, server: &str, permits: u32) -> Option<PermitGrant> {
    let issuer = gateway.permits.issuer(server);
    if issuer == gateway.identity.node.name {
        return issue(gateway, server, permits).ok();
    }
    let issuer = gateway.members.named(&issuer)?;
    let request = PeerRequest::Borrow { server: server.to_owned(), permits };
    match client::call(gateway, &issuer, &request, Duration::ZERO).await? {
        PeerReply::Lent { permits, again_millis } => {
            Some(PermitGrant { permits, retry_after: Duration::from_millis(again_millis) })
        }
        _ => None,
    }
}

/// Answers a daemon that wants permits.
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

/// Lends permits for a server, where that falls to this daemon.
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
    let cold = {
        let placer = &gateway.directory.borrow().placer;
        placer.key(server).and_then(|key| placer.cold_start_limit(key))
    };
    // A server that is not known here bears nothing yet.
    let Some(cold) = cold else {
        return Ok(PermitGrant { permits: 0, retry_after: RETRY_DELAY });
    };
    let limit = gateway.tuning().cold_margin.rate_limit(cold);
    let grant = gateway.permits.issuer.borrow_mut().issue(now, server, permits, limit);
    gateway.metrics.permits_lent.inc_by(u64::from(grant.permits));
    Ok(grant)
}

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

/// Rest before a lender is asked again that did not answer, or that lends no more.
const UNANSWERED_REST: Duration = Duration::from_millis(200);

/// What servers bear beyond what they say, in short.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdMargin {
    /// A cold server gets no more in a second than this many times what it bears...
    pub overshoot: f64,
    /// ...and so many requests more.
    pub slack: f64,
}

impl ColdMargin {
    /// What may be lent for a server that bears so much.
    fn terms(self, cold: ColdStartLimit) -> rate_limit::RateLimit {
        rate_limit::RateLimit::bounded(
            cold.per_second,
            cold.per_second * self.overshoot + self.slack,
        )
    }
}

/// The lender's part, and who lends.
pub struct Permits {
    view: RefCell<MembershipView>,
    lender: RefCell<PermitIssuer>,
}

impl Permits {
    /// A daemon that has just started.
    pub fn new(me: NodeName) -> Self {
        Self {
            view: RefCell::new(MembershipView::new(me, Moment::ZERO)),
            lender: RefCell::default(),
        }
    }

    /// The daemon that lends for a key, as far as is known here.
    pub fn lender(&self, key: &str) -> NodeName {
        self.view.borrow().issuer(key).clone()
    }
}

/// Takes in which daemons are alive.
pub fn note_members(gateway: &Gateway) {
    let members = gateway.members.all();
    let names = |is_wanted: &dyn Fn(Liveness) -> bool| -> Vec<NodeName> {
        let wanted = members.iter().filter(|member| is_wanted(member.liveness));
        wanted.map(|member| member.id.name.clone()).collect()
    };
    let alive = names(&|liveness| liveness <= Liveness::Suspect);
    let left = names(&|liveness| liveness == Liveness::Left);
    gateway.permits.view.borrow_mut().update(gateway.now(), alive, &left);
}

/// Asks for permits for the cold servers that requests wait for.
pub fn ask(gateway: &Rc<Gateway>) {
    let now = gateway.now();
    let shortages = gateway.directory.borrow_mut().placer.take_permit_demand(now);
    for shortage in shortages {
        let gateway = gateway.clone();
        let executor = gateway.executor.clone();
        executor.spawn(async move { borrow(&gateway, shortage).await }).detach();
    }
}

async fn borrow(gateway: &Rc<Gateway>, shortage: PermitDemand) {
    let asked = gateway.now();
    let server = gateway.directory.borrow().placer.id(shortage.server).map(str::to_owned);
    let loan = match &server {
        Some(server) => loan(gateway, server, shortage.permits).await,
        None => None,
    };
    let until = asked + rate_limit::PERMIT_VALIDITY;
    let now = gateway.now();
    let (permits, again) = match loan {
        // Answers that come late are of no use: what they lend is over.
        Some(loan) if loan.permits > 0 && now < until => (loan.permits, None),
        Some(loan) => (0, Some(loan.retry_after)),
        None => (0, Some(UNANSWERED_REST)),
    };
    gateway.metrics.permits_borrowed.inc_by(u64::from(permits));
    {
        let placer = &mut gateway.directory.borrow_mut().placer;
        placer.record_permit_grant(now, shortage.server, permits, until, again);
    }
    if permits > 0 {
        gateway.places.changed.notify(usize::MAX);
    }
}

/// What the lender for a server lends; nothing where it does not answer.
async fn loan(gateway: &Rc<Gateway>, server: &str, permits: u32) -> Option<PermitGrant> {
    let lender = gateway.permits.lender(server);
    if lender == gateway.identity.node.name {
        return lend(gateway, server, permits).ok();
    }
    let lender = gateway.members.named(&lender)?;
    let request = PeerRequest::Borrow { server: server.to_owned(), permits };
    match client::call(gateway, &lender, &request, Duration::ZERO).await? {
        PeerReply::Lent { permits, again_millis } => {
            Some(PermitGrant { permits, retry_after: Duration::from_millis(again_millis) })
        }
        _ => None,
    }
}

/// Answers a daemon that wants permits.
pub fn answer(gateway: &Gateway, server: &str, permits: u32) -> PeerReply {
    match lend(gateway, server, permits) {
        Ok(loan) => PeerReply::Lent {
            permits: loan.permits,
            again_millis: u64::try_from(loan.retry_after.as_millis()).unwrap_or(u64::MAX),
        },
        Err(refusal) => {
            log::info!("event=permits_not_lent server={server} reason={refusal:?}");
            PeerReply::NotOwner
        }
    }
}

/// Lends permits for a server, where that falls to this daemon.
fn lend(gateway: &Gateway, server: &str, permits: u32) -> Result<PermitGrant, Refusal> {
    let now = gateway.now();
    if gateway.is_alone_of_several() {
        return Err(Refusal::Minority);
    }
    match gateway.permits.view.borrow().may_issue(now, server) {
        Ok(()) => {}
        Err(Refusal::TakeoverPending(left)) => {
            return Ok(PermitGrant { permits: 0, retry_after: left })
        }
        Err(refusal) => return Err(refusal),
    }
    let cold = {
        let placer = &gateway.directory.borrow().placer;
        placer.key(server).and_then(|key| placer.cold_start_limit(key))
    };
    // A server that is not known here bears nothing yet.
    let Some(cold) = cold else {
        return Ok(PermitGrant { permits: 0, retry_after: UNANSWERED_REST });
    };
    let terms = gateway.tuning().cold_margin.terms(cold);
    let loan = gateway.permits.lender.borrow_mut().issue(now, server, permits, terms);
    gateway.metrics.permits_lent.inc_by(u64::from(loan.permits));
    Ok(loan)
}

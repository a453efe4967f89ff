//! Tells other daemons what was counted here, so that counts outlive this daemon.
//!
//! The first daemons in line are sent, by datagrams. Each tells all that was counted in a window so
//! far, so one that is lost is made good by the next; the last one of a window is sent twice.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use heronbend::identity::NodeId;
use heronbend::usage::Counts;
use heronbend::usage::Window;
use smol::Timer;

use super::takeover;
use super::usage::UsageTracker;
use crate::gateway::Gateway;
use crate::peers::Hint;
use crate::wait;

/// Daemons that are sent: a loss of half of all at the same moment leaves one of them nine times in
/// ten.
const MAX_RECIPIENTS: usize = 4;
/// Counts of this long are sent together.
const BATCHING_WINDOW: Duration = Duration::from_millis(300);
/// Longest time between two looks at who is to be sent.
const CHECK_PERIOD: Duration = Duration::from_millis(500);
/// Time after a window's end at which its counts are sent once more.
const REPEAT_AFTER: Duration = Duration::from_millis(900);
/// Tenants in one datagram, so that it fits.
const MAX_TENANTS_PER_HINT: usize = 150;

/// What was sent of a window.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct SentUpdate {
    total: u64,
    recipients: Vec<NodeId>,
    is_repeated: bool,
}

/// Runs until the daemon ends.
pub async fn run(gateway: Rc<Gateway>, usage: Rc<UsageTracker>) {
    let mut sent: BTreeMap<Window, SentUpdate> = BTreeMap::new();
    loop {
        wait::at_most(CHECK_PERIOD, usage.counted.listen()).await;
        Timer::after(BATCHING_WINDOW).await;
        send_updates(&gateway, &usage, &mut sent);
    }
}

/// Tells what has changed, or has not been sent to those who collect now.
fn send_updates(gateway: &Gateway, usage: &UsageTracker, sent: &mut BTreeMap<Window, SentUpdate>) {
    let recipients = recipients(gateway);
    let now = gateway.now();
    let local_counts = usage.local_counts();
    sent.retain(|window, _| local_counts.iter().any(|(known, _)| known == window));
    for (window, counts) in local_counts {
        let is_over = now >= usage.end(window) + REPEAT_AFTER;
        let entry = sent.entry(window).or_default();
        let is_current = entry.total == counts.total() && entry.recipients == recipients;
        if !is_current || (is_over && !entry.is_repeated) {
            *entry = SentUpdate {
                total: counts.total(),
                recipients: recipients.clone(),
                is_repeated: is_over,
            };
            log::info!(
                "event=usage_told window={} requests={} daemons={}",
                window.0,
                counts.total(),
                recipients.len()
            );
            send_window(gateway, &recipients, window, &counts);
        }
    }
}

/// The other daemons that are sent: those that report next, should the holder be lost.
fn recipients(gateway: &Gateway) -> Vec<NodeId> {
    let local = &gateway.identity.node;
    let mut nodes = takeover::current_order(gateway);
    nodes.retain(|node| node != local);
    nodes.truncate(MAX_RECIPIENTS);
    nodes
}

fn send_window(gateway: &Gateway, recipients: &[NodeId], window: Window, counts: &Counts) {
    let all: Vec<(String, u64)> =
        counts.iter().map(|(tenant, count)| (tenant.to_owned(), count)).collect();
    for part in all.chunks(MAX_TENANTS_PER_HINT) {
        let hint = Hint::UsageCounted {
            daemon: gateway.identity.node.clone(),
            window,
            counts: part.to_vec(),
        };
        gateway.members.tell(recipients.to_vec(), hint);
    }
}

/// Tells everything once more, before this daemon stops.
pub fn send_final(gateway: &Gateway, usage: &UsageTracker) {
    send_updates(gateway, usage, &mut BTreeMap::new());
}

//! Sends this daemon's usage counts to other daemons, so that they survive its loss.
//!
//! The first daemons in the takeover order receive the counts as datagrams. Each datagram has the
//! full counts of a window, so a lost one is replaced by the next; the final one of a window is
//! repeated.

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

/// Number of daemons that receive the counts, so that they survive the loss of several daemons.
const MAX_RECIPIENTS: usize = 4;
/// How long to collect counts before sending them.
const BATCHING_WINDOW: Duration = Duration::from_millis(300);
/// Maximum interval between checks for new recipients.
const CHECK_PERIOD: Duration = Duration::from_millis(500);
/// Time after the end of a window at which its counts are sent again.
const REPEAT_AFTER: Duration = Duration::from_millis(900);
/// Keeps a hint within one datagram.
const MAX_TENANTS_PER_HINT: usize = 150;

/// The last update sent for a window.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct SentUpdate {
    total: u64,
    recipients: Vec<NodeId>,
    is_repeated: bool,
}

/// Runs until the daemon stops.
pub async fn run(gateway: Rc<Gateway>, usage: Rc<UsageTracker>) {
    let mut sent: BTreeMap<Window, SentUpdate> = BTreeMap::new();
    loop {
        wait::at_most(CHECK_PERIOD, usage.counted.listen()).await;
        Timer::after(BATCHING_WINDOW).await;
        send_updates(&gateway, &usage, &mut sent);
    }
}

/// Sends counts that have changed or were not sent to the current recipients.
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

/// The daemons that receive the counts: the first in the takeover order, without the local one.
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
        gateway.members.send_to(recipients.to_vec(), hint);
    }
}

/// Sends all counts once more before this daemon stops.
pub fn send_final(gateway: &Gateway, usage: &UsageTracker) {
    send_updates(gateway, usage, &mut BTreeMap::new());
}

//! Tells other daemons what was counted here, so that counts outlive this daemon.
//!
//! The first daemons in line are told, by datagrams. Each tells all that was counted in a window so
//! far, so one that is lost is made good by the next; the last one of a window is sent twice.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use heronbend::identity::NodeId;
use heronbend::usage::Counts;
use heronbend::usage::Window;
use smol::Timer;

use super::book::Book;
use super::line;
use crate::gateway::Gateway;
use crate::peers::Hint;
use crate::wait;

/// Daemons that are told: a loss of half of all at the same moment leaves one of them nine times in
/// ten.
const COLLECTORS: usize = 4;
/// Counts of this long are told together.
const GATHERING: Duration = Duration::from_millis(300);
/// Longest time between two looks at who is to be told.
const LOOK: Duration = Duration::from_millis(500);
/// Time after a window's end at which its counts are told once more.
const REPEAT_AFTER: Duration = Duration::from_millis(900);
/// Tenants in one datagram, so that it fits.
const TENANTS_A_HINT: usize = 150;

/// What was told of a window.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Told {
    total: u64,
    to: Vec<NodeId>,
    is_repeated: bool,
}

/// Runs until the daemon ends.
pub async fn run(gateway: Rc<Gateway>, book: Rc<Book>) {
    let mut told: BTreeMap<Window, Told> = BTreeMap::new();
    loop {
        wait::at_most(LOOK, book.counted.listen()).await;
        Timer::after(GATHERING).await;
        tell(&gateway, &book, &mut told);
    }
}

/// Tells what has changed, or has not been told to those who collect now.
fn tell(gateway: &Gateway, book: &Book, told: &mut BTreeMap<Window, Told>) {
    let to = collectors(gateway);
    let now = gateway.now();
    let own = book.own();
    told.retain(|window, _| own.iter().any(|(known, _)| known == window));
    for (window, counts) in own {
        let is_over = now >= book.end(window) + REPEAT_AFTER;
        let entry = told.entry(window).or_default();
        let is_known = entry.total == counts.total() && entry.to == to;
        if !is_known || (is_over && !entry.is_repeated) {
            *entry = Told { total: counts.total(), to: to.clone(), is_repeated: is_over };
            log::info!(
                "event=usage_told window={} requests={} daemons={}",
                window.0,
                counts.total(),
                to.len()
            );
            tell_window(gateway, &to, window, &counts);
        }
    }
}

/// The other daemons that are told: those that report next, should the holder be lost.
fn collectors(gateway: &Gateway) -> Vec<NodeId> {
    let me = &gateway.identity.node;
    let mut line = line::here(gateway);
    line.retain(|node| node != me);
    line.truncate(COLLECTORS);
    line
}

fn tell_window(gateway: &Gateway, to: &[NodeId], window: Window, counts: &Counts) {
    let all: Vec<(String, u64)> =
        counts.iter().map(|(tenant, count)| (tenant.to_owned(), count)).collect();
    for part in all.chunks(TENANTS_A_HINT) {
        let hint = Hint::UsageCounted {
            daemon: gateway.identity.node.clone(),
            window,
            counts: part.to_vec(),
        };
        gateway.members.send_to(to.to_vec(), hint);
    }
}

/// Tells everything once more, before this daemon stops.
pub fn tell_last(gateway: &Gateway, book: &Book) {
    tell(gateway, book, &mut BTreeMap::new());
}

//! The log of membership changes stays small under many changes.

mod support;

use std::time::Duration;

use heronbend::membership::Liveness;
use heronbend_gateway::peers::membership_log::MembershipLog;
use support::member;
use support::node;

#[test]
fn many_changes_within_a_second_are_logged_in_one_line() {
    let mut log = MembershipLog::default();
    let mut lines = Vec::new();
    for number in 0..1000_u32 {
        let liveness = if number % 2 == 0 { Liveness::Dead } else { Liveness::Alive };
        log.record(&member(node(&format!("n{number}")), liveness));
        let now = Duration::from_secs(5) + Duration::from_millis(u64::from(number));
        lines.extend(log.next_line(now, 17));
    }
    lines.extend(log.next_line(Duration::from_secs(9), 17));
    assert_eq!(lines.len(), 2, "{lines:?}");
    assert!(lines[0].contains("changes=1 ") && lines[0].contains("lost=n0#1:Dead"), "{}", lines[0]);
    assert!(lines[1].contains("changes=999 to_alive=500 to_suspect=0 to_lost=499"), "{}", lines[1]);
    assert!(lines[1].ends_with("alive_now=17") && lines[1].len() < 300, "{}", lines[1]);
    assert_eq!(log.next_line(Duration::from_secs(20), 17), None, "no changes");
}

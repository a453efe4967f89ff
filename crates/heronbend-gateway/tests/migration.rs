//! Texts that may move to faster servers.

use std::time::Duration;

use heronbend_gateway::batch::migration::meets_deadline;
use heronbend_gateway::batch::migration::MigrationCost;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn a_move_wins_more_than_moves_have_cost_of_late() {
    let mut cost = MigrationCost::default();
    assert!(cost.is_exceeded_by(millis(300)));
    assert!(!cost.is_exceeded_by(millis(150)));
    cost.record(millis(600));
    assert!(!cost.is_exceeded_by(millis(800)));
    assert!(cost.is_exceeded_by(millis(950)));
    // Moves that have become cheap are made again.
    (0..40).for_each(|_| cost.record(millis(50)));
    assert!(cost.is_exceeded_by(millis(300)));
}

#[test]
fn a_text_that_ends_in_good_time_stays() {
    let due = Some(millis(7500));
    assert!(meets_deadline(millis(1000), millis(3000), due));
    assert!(!meets_deadline(millis(1000), millis(4000), due));
    assert!(!meets_deadline(millis(6000), millis(100), due));
    assert!(!meets_deadline(millis(0), millis(1), None), "nothing says when it is due");
}

//! Cost and deadline conditions for migrating a text.

use std::time::Duration;

use heronbend_gateway::batch::migration::meets_deadline;
use heronbend_gateway::batch::migration::MigrationCost;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn migration_has_to_save_more_than_its_recent_cost() {
    let mut cost = MigrationCost::default();
    assert!(cost.is_exceeded_by(millis(300)));
    assert!(!cost.is_exceeded_by(millis(150)));
    cost.record(millis(600));
    assert!(!cost.is_exceeded_by(millis(800)));
    assert!(cost.is_exceeded_by(millis(950)));
    // Migrations resume once they have become cheap.
    (0..40).for_each(|_| cost.record(millis(50)));
    assert!(cost.is_exceeded_by(millis(300)));
}

#[test]
fn text_that_completes_early_enough_is_not_migrated() {
    let due = Some(millis(7500));
    assert!(meets_deadline(millis(1000), millis(3000), due));
    assert!(!meets_deadline(millis(1000), millis(4000), due));
    assert!(!meets_deadline(millis(6000), millis(100), due));
    assert!(!meets_deadline(millis(0), millis(1), None), "there is no deadline");
}

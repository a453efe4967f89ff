use assert_matches::assert_matches;

use super::*;
use crate::identity::Incarnation;
use crate::Moment;

fn signal(source: SignalSource, incarnation: u64, phase: Phase) -> Signal {
    Signal {
        source,
        stated: BackendPhase {
            name: BackendName("engine-1".into()),
            incarnation: Incarnation(incarnation),
            phase,
        },
    }
}

#[test]
fn stale_machine_list_does_not_make_a_leaving_backend_live() {
    let mut lifecycle = Lifecycle::default();
    let now = Moment::ZERO;
    assert!(lifecycle.observe(now, signal(SignalSource::MachineList, 1, Phase::Live)).is_some());
    let leaving = lifecycle.observe(now, signal(SignalSource::BackendReport, 1, Phase::Leaving));
    assert_matches!(leaving, Some(LifecycleChange { source: SignalSource::BackendReport, .. }));
    let stale = lifecycle.observe(now, signal(SignalSource::MachineList, 1, Phase::Live));
    assert_eq!(stale, None);
    let name = BackendName("engine-1".into());
    assert_eq!(lifecycle.phase(&name, Incarnation(1)), Phase::Leaving);
}

#[test]
fn new_incarnation_is_live_and_the_old_one_gone() {
    let mut lifecycle = Lifecycle::default();
    lifecycle.observe(Moment::ZERO, signal(SignalSource::Operator, 1, Phase::Leaving));
    lifecycle.observe(Moment::ZERO, signal(SignalSource::MachineList, 2, Phase::Live));
    let name = BackendName("engine-1".into());
    assert_eq!(lifecycle.phase(&name, Incarnation(2)), Phase::Live);
    assert_eq!(lifecycle.phase(&name, Incarnation(1)), Phase::Gone);
    let old_incarnation =
        lifecycle.observe(Moment::ZERO, signal(SignalSource::Peer, 1, Phase::Gone));
    assert_eq!(old_incarnation, None);
}

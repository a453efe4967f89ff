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
fn a_list_that_lags_does_not_bring_a_leaving_back_end_back() {
    let mut lifecycle = Lifecycle::default();
    let now = Moment::ZERO;
    assert!(lifecycle.observe(now, signal(SignalSource::MachineList, 1, Phase::Live)).is_some());
    let left = lifecycle.observe(now, signal(SignalSource::BackendReport, 1, Phase::Leaving));
    assert_matches!(left, Some(LifecycleChange { source: SignalSource::BackendReport, .. }));
    let lagging = lifecycle.observe(now, signal(SignalSource::MachineList, 1, Phase::Live));
    assert_eq!(lagging, None);
    let name = BackendName("engine-1".into());
    assert_eq!(lifecycle.phase(&name, Incarnation(1)), Phase::Leaving);
}

#[test]
fn a_new_run_is_live_again_and_the_old_one_gone() {
    let mut lifecycle = Lifecycle::default();
    lifecycle.observe(Moment::ZERO, signal(SignalSource::Operator, 1, Phase::Leaving));
    lifecycle.observe(Moment::ZERO, signal(SignalSource::MachineList, 2, Phase::Live));
    let name = BackendName("engine-1".into());
    assert_eq!(lifecycle.phase(&name, Incarnation(2)), Phase::Live);
    assert_eq!(lifecycle.phase(&name, Incarnation(1)), Phase::Gone);
    let late = lifecycle.observe(Moment::ZERO, signal(SignalSource::Peer, 1, Phase::Gone));
    assert_eq!(late, None);
}

//! Breadth-first exploration of a system, which yields shortest counterexamples.

use std::cell::Cell;
use std::collections::HashSet;
use std::hash::Hash;

use pathfinding::prelude::bfs;

use crate::check::{Counterexample, Report};

/// A system with a finite number of states.
pub trait System {
    /// A global state: daemons, store and messages in flight.
    type State: Clone + Eq + Hash;

    /// Returns the initial state.
    fn initial_state(&self) -> Self::State;

    /// Returns the successors of a state, each with a description of the action.
    fn successors(&self, state: &Self::State) -> Vec<(Self::State, String)>;

    /// Returns an invariant that a state violates, if there is one.
    fn violated_invariant(&self, state: &Self::State) -> Option<&'static str>;
}

/// Explores the states of a system, at most `max_states` of them.
pub fn explore<S: System>(system: &S, max_states: usize) -> Report {
    let initial = system.initial_state();
    let mut seen: HashSet<S::State> = HashSet::from([initial.clone()]);
    let steps = Cell::new(0_u64);
    let truncated = Cell::new(false);
    let path = bfs(
        &initial,
        |state| {
            if seen.len() >= max_states {
                truncated.set(true);
                return Vec::new();
            }
            let successors = system.successors(state);
            steps.set(steps.get() + successors.len() as u64);
            let states: Vec<S::State> = successors.into_iter().map(|(next, _)| next).collect();
            seen.extend(states.iter().cloned());
            states
        },
        |state| system.violated_invariant(state).is_some(),
    );
    Report {
        states: seen.len(),
        steps: steps.get(),
        depth: 0,
        exhausted: path.is_none() && !truncated.get(),
        counterexample: path.map(|path| counterexample_of(system, &path)),
    }
}

fn counterexample_of<S: System>(system: &S, path: &[S::State]) -> Counterexample {
    let action = |states: &[S::State]| {
        let transition =
            system.successors(&states[0]).into_iter().find(|(next, _)| *next == states[1]);
        transition.map(|(_, action)| action).unwrap_or_default()
    };
    Counterexample {
        invariant: path
            .last()
            .and_then(|final_state| system.violated_invariant(final_state))
            .unwrap_or("none"),
        actions: path.windows(2).map(action).collect(),
    }
}

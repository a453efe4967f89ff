//! Explores a small system breadth first, so that a counterexample is a shortest one.

use std::cell::Cell;
use std::collections::HashSet;
use std::hash::Hash;

use pathfinding::prelude::bfs;

use crate::check::{Counterexample, Report};

/// A system with finitely many states within its bounds.
pub trait System {
    /// A state of everything: daemons, store and messages.
    type State: Clone + Eq + Hash;

    /// The state before anything happened.
    fn start(&self) -> Self::State;

    /// What can happen next, with a line about each.
    fn successors(&self, state: &Self::State) -> Vec<(Self::State, String)>;

    /// The invariant that does not hold in a state.
    fn violation(&self, state: &Self::State) -> Option<&'static str>;
}

/// Explores every state of a system, up to a number of states.
pub fn explore<S: System>(system: &S, max_states: usize) -> Report {
    let start = system.start();
    let mut seen: HashSet<S::State> = HashSet::from([start.clone()]);
    let steps = Cell::new(0_u64);
    let truncated = Cell::new(false);
    let path = bfs(
        &start,
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
        |state| system.violation(state).is_some(),
    );
    Report {
        states: seen.len(),
        steps: steps.get(),
        depth: 0,
        exhausted: path.is_none() && !truncated.get(),
        counterexample: path.map(|path| describe(system, &path)),
    }
}

fn describe<S: System>(system: &S, path: &[S::State]) -> Counterexample {
    let event = |pair: &[S::State]| {
        let found = system.successors(&pair[0]).into_iter().find(|(next, _)| *next == pair[1]);
        found.map(|(_, event)| event).unwrap_or_default()
    };
    Counterexample {
        invariant: path.last().and_then(|last| system.violation(last)).unwrap_or("none"),
        events: path.windows(2).map(event).collect(),
    }
}

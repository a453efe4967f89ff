//! Breadth-first exploration of the core protocol, which yields shortest counterexamples.

use std::cell::{Cell, RefCell};
use std::fmt;

use pathfinding::prelude::bfs;
use rapidhash::RapidHashMap;

use crate::model::{Model, State};
use crate::scenario::Scenario;

/// Result of an exploration.
pub struct Report {
    /// Distinct states reached.
    pub states: usize,
    /// Transitions explored.
    pub steps: u64,
    /// Greatest distance of a reached state from the initial state; 0 for
    /// [`crate::explore::explore`].
    pub depth: u32,
    /// Whether all states within the bounds were explored without a violation.
    pub exhausted: bool,
    /// A shortest trace to a state that violates an invariant.
    pub counterexample: Option<Counterexample>,
}

/// A trace to a state that violates an invariant.
pub struct Counterexample {
    /// The violated invariant.
    pub invariant: &'static str,
    /// Descriptions of the actions, in order.
    pub actions: Vec<String>,
}

impl fmt::Display for Counterexample {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "violated: {}", self.invariant)?;
        for (number, action) in self.actions.iter().enumerate() {
            writeln!(formatter, "{:>4}. {action}", number + 1)?;
        }
        Ok(())
    }
}

/// Explores the states within the model's bounds, at most `max_states` of them.
pub fn check<S: Scenario>(model: &Model<S>, max_states: usize) -> Report {
    let initial = model.initial_state();
    let depths: RefCell<RapidHashMap<State, u32>> =
        RefCell::new(RapidHashMap::from_iter([(initial, 0)]));
    let steps = Cell::new(0_u64);
    let max_depth = Cell::new(0);
    let truncated = Cell::new(false);
    let path = bfs(
        &initial,
        |state| {
            let mut depths = depths.borrow_mut();
            if depths.len() >= max_states {
                truncated.set(true);
                return Vec::new();
            }
            let depth = depths[state] + 1;
            let successors = model.successors(state, false);
            steps.set(steps.get() + successors.len() as u64);
            let states: Vec<State> = successors.into_iter().map(|(next, _)| next).collect();
            for next in &states {
                depths.entry(*next).or_insert_with(|| {
                    max_depth.set(max_depth.get().max(depth));
                    depth
                });
            }
            states
        },
        |state| model.violated_invariant(state).is_some(),
    );
    let states = depths.borrow().len();
    Report {
        states,
        steps: steps.get(),
        depth: max_depth.get(),
        exhausted: path.is_none() && !truncated.get(),
        counterexample: path.map(|path| counterexample_of(model, &path)),
    }
}

fn counterexample_of<S: Scenario>(model: &Model<S>, path: &[State]) -> Counterexample {
    let final_state = path.last().expect("a path contains the initial state");
    let action = |states: &[State]| {
        let transition =
            model.successors(&states[0], true).into_iter().find(|(next, _)| *next == states[1]);
        transition.map(|(_, action)| action).unwrap_or_default()
    };
    Counterexample {
        invariant: model.violated_invariant(final_state).unwrap_or("none"),
        actions: path.windows(2).map(action).collect(),
    }
}

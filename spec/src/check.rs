//! Explores a model breadth first, so that a counterexample is a shortest one.

use std::cell::{Cell, RefCell};
use std::fmt;

use pathfinding::prelude::bfs;
use rapidhash::RapidHashMap;

use crate::model::{Model, State};
use crate::scenario::Scenario;

/// Result of a check.
pub struct Report {
    /// States that were reached.
    pub states: usize,
    /// Steps that were taken.
    pub steps: u64,
    /// Events on the longest of the shortest paths to a state.
    pub depth: u32,
    /// Whether every state within the bounds was reached.
    pub exhausted: bool,
    /// A shortest path to a violation.
    pub counterexample: Option<Counterexample>,
}

/// A path to a state in which an invariant does not hold.
pub struct Counterexample {
    /// The invariant.
    pub invariant: &'static str,
    /// The events, in order.
    pub events: Vec<String>,
}

impl fmt::Display for Counterexample {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "violated: {}", self.invariant)?;
        for (number, event) in self.events.iter().enumerate() {
            writeln!(formatter, "{:>4}. {event}", number + 1)?;
        }
        Ok(())
    }
}

/// Explores every state within the model's bounds, up to a number of states.
pub fn check<S: Scenario>(model: &Model<S>, max_states: usize) -> Report {
    let start = model.start();
    let depths: RefCell<RapidHashMap<State, u32>> =
        RefCell::new(RapidHashMap::from_iter([(start, 0)]));
    let steps = Cell::new(0_u64);
    let deepest = Cell::new(0);
    let truncated = Cell::new(false);
    let path = bfs(
        &start,
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
                    deepest.set(deepest.get().max(depth));
                    depth
                });
            }
            states
        },
        |state| model.violation(state).is_some(),
    );
    let states = depths.borrow().len();
    Report {
        states,
        steps: steps.get(),
        depth: deepest.get(),
        exhausted: path.is_none() && !truncated.get(),
        counterexample: path.map(|path| describe(model, &path)),
    }
}

fn describe<S: Scenario>(model: &Model<S>, path: &[State]) -> Counterexample {
    let last = path.last().expect("a path has a first state");
    let event = |pair: &[State]| {
        let found = model.successors(&pair[0], true).into_iter().find(|(next, _)| *next == pair[1]);
        found.map(|(_, event)| event).unwrap_or_default()
    };
    Counterexample {
        invariant: model.violation(last).unwrap_or("none"),
        events: path.windows(2).map(event).collect(),
    }
}

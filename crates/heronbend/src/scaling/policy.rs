//! How many revocable servers are wanted on top of those on demand.

use std::time::Duration;

/// What is seen of the work of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Time that the slowest of the last steps took, as a share of the time within which it was due;
    /// none before the first step has ended.
    pub slowest_step: Option<f64>,
    /// Time for which no step was near its limit.
    pub calm_for: Duration,
}

/// A way to say how many revocable servers are wanted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Policy {
    /// None.
    Hold,
    /// A fixed share of the servers on demand, whatever is seen: they are there before they are
    /// needed.
    Reserve {
        /// The share.
        share: f64,
    },
    /// As many as bring the slowest step back to a share of its time; they go after a calm time.
    Track {
        /// The share of its time that a step may take.
        target: f64,
        /// Most revocable servers, as a share of those on demand.
        most: f64,
    },
}

/// Steps that take more of their time than this are near their limit.
pub const NEAR_LIMIT: f64 = 0.85;
/// Calm time after which revocable servers are given back: several steps, and longer than a new
/// server takes to serve.
const CALM_TO_SHRINK: Duration = Duration::from_secs(30);

impl Policy {
    /// Revocable servers that are wanted beside `floor` servers on demand, where there are `now`.
    pub fn wanted(self, floor: u32, now: u32, demand: Demand) -> u32 {
        let floor_count = f64::from(floor);
        match self {
            Self::Hold => 0,
            Self::Reserve { share } => (floor_count * share).ceil() as u32,
            Self::Track { target, most } => {
                let limit = (floor_count * most).ceil() as u32;
                match demand.slowest_step {
                    Some(slowest) if slowest > NEAR_LIMIT => {
                        let total = f64::from(floor + now) * slowest / target;
                        (total.ceil() as u32).saturating_sub(floor).clamp(now.min(limit), limit)
                    }
                    _ if demand.calm_for >= CALM_TO_SHRINK => 0,
                    _ => now.min(limit),
                }
            }
        }
    }
}

//! Policies for the number of revocable servers wanted beside the on-demand ones.

use std::time::Duration;

/// Observed load of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Duration of the slowest recent step as a fraction of its deadline; `None` before the first
    /// step has completed.
    pub slowest_step: Option<f64>,
    /// Time since a step was last near its deadline.
    pub calm_for: Duration,
}

/// How the number of revocable servers is chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Policy {
    /// No revocable servers.
    OnDemandOnly,
    /// A fixed fraction of the on-demand servers, regardless of load.
    Reserve {
        /// Revocable servers as a fraction of the on-demand ones.
        share: f64,
    },
    /// As many as bring the slowest step back to the target; released after a period of low load.
    Track {
        /// Target duration of a step as a fraction of its deadline.
        target: f64,
        /// Maximum of revocable servers as a fraction of the on-demand ones.
        max_share: f64,
    },
}

/// Fraction of its deadline above which a step counts as near it.
pub const NEAR_DEADLINE: f64 = 0.85;
/// Period of low load after which revocable servers are released; several steps, and longer than a
/// server takes to boot.
const SHRINK_DELAY: Duration = Duration::from_secs(30);

impl Policy {
    /// Number of revocable servers wanted beside `floor` on-demand servers, given the `current`
    /// number.
    pub fn wanted(self, floor: u32, current: u32, demand: Demand) -> u32 {
        let floor_count = f64::from(floor);
        match self {
            Self::OnDemandOnly => 0,
            Self::Reserve { share } => (floor_count * share).ceil() as u32,
            Self::Track { target, max_share } => {
                let max = (floor_count * max_share).ceil() as u32;
                match demand.slowest_step {
                    Some(slowest) if slowest > NEAR_DEADLINE => {
                        let total = f64::from(floor + current) * slowest / target;
                        (total.ceil() as u32).saturating_sub(floor).clamp(current.min(max), max)
                    }
                    _ if demand.calm_for >= SHRINK_DELAY => 0,
                    _ => current.min(max),
                }
            }
        }
    }
}

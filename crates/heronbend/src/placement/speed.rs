//! The speed of a server by two time scales: what it is, and what it is just now.

use std::time::Duration;

use crate::Moment;

/// Time over which the usual latency is averaged.
const USUAL_MEMORY: Duration = Duration::from_secs(3);
/// Half-life of the difference between the two. A server that was slow for a moment is used again
/// after about as long.
const CURRENT_HALF_LIFE: Duration = Duration::from_millis(300);
/// Weight of a sample in the latency just now.
const CURRENT_SAMPLE_WEIGHT: f64 = 0.3;
/// Smallest weight of a sample in the usual latency, for samples that come at once.
const MIN_USUAL_WEIGHT: f64 = 0.005;
/// Largest weight of a sample in the usual latency. A single sample may be an outlier.
const MAX_USUAL_WEIGHT: f64 = 0.5;
/// Time after which an idle server gets one request to learn whether its usual latency has changed.
const PROBE_INTERVAL: Duration = Duration::from_secs(3);

/// Mean latencies of a server, in milliseconds.
#[derive(Debug, Clone, Copy, Default)]
pub struct Speed {
    means: Option<Means>,
    sampled_at: Moment,
}

#[derive(Debug, Clone, Copy)]
struct Means {
    usual: f64,
    current: f64,
}

impl Speed {
    /// Records a latency.
    pub fn record(&mut self, now: Moment, millis: f64) {
        let passed = now.saturating_sub(self.sampled_at);
        let means = match self.means {
            None => Means { usual: millis, current: millis },
            Some(Means { usual, .. }) => {
                let current = self.current_millis(now).unwrap_or(usual);
                Means {
                    usual: usual + (millis - usual) * usual_weight(passed),
                    current: current + (millis - current) * CURRENT_SAMPLE_WEIGHT,
                }
            }
        };
        self.means = Some(means);
        self.sampled_at = now;
    }

    /// The usual latency, which does not fade.
    pub fn usual_millis(&self) -> Option<f64> {
        self.means.map(|means| means.usual)
    }

    /// The latency just now, which falls back to the usual one.
    pub fn current_millis(&self, now: Moment) -> Option<f64> {
        let Means { usual, current } = self.means?;
        let age = now.saturating_sub(self.sampled_at).as_secs_f64();
        let remaining = 0.5_f64.powf(age / CURRENT_HALF_LIFE.as_secs_f64());
        Some(usual + (current - usual) * remaining)
    }

    /// Whether the last sample is so old that the server should get a request whatever its speed.
    pub fn is_probe_due(&self, now: Moment) -> bool {
        now.saturating_sub(self.sampled_at) >= PROBE_INTERVAL
    }
}

/// Weight in the usual latency of a sample that comes `passed` after the last one.
fn usual_weight(passed: Duration) -> f64 {
    let weight = 1.0 - (-passed.as_secs_f64() / USUAL_MEMORY.as_secs_f64()).exp();
    weight.clamp(MIN_USUAL_WEIGHT, MAX_USUAL_WEIGHT)
}

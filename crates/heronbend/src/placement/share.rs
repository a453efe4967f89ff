//! Divides the connections of a server between daemons.
//!
//! Daemons with much CPU run jobs and need several connections per server; small ones spread their
//! calls over all servers. With equal shares a large fleet would leave each daemon fewer
//! connections than a server has slots: of 1,600 connections each of 835 daemons gets one. So part
//! of the connections is reserved for the large daemons.

/// A daemon with less than this fraction of the largest daemon's CPU is small.
pub const LARGE_CPU_FRACTION: f64 = 0.5;
/// One in this many of a server's connections is reserved for the large daemons.
const LARGE_CONNECTIONS_DIVISOR: u32 = 2;

/// The number of live daemons by size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Daemons {
    /// Number of large daemons.
    pub large: u32,
    /// Number of small daemons.
    pub small: u32,
    /// CPU limit of the largest daemon, in thousandths of a core.
    max_cpu_millis: u32,
}

impl Daemons {
    /// Counts daemons by their CPU limits, in thousandths of a core.
    pub fn count(cpu_millis: &[u32]) -> Self {
        let max_cpu_millis = cpu_millis.iter().copied().max().unwrap_or(0);
        let large = cpu_millis.iter().filter(|cpu| is_large(**cpu, max_cpu_millis)).count();
        let count = |daemons: usize| u32::try_from(daemons).unwrap_or(u32::MAX);
        Self { large: count(large), small: count(cpu_millis.len() - large), max_cpu_millis }
    }

    /// Maximum number of requests that a daemon may have in flight on a server that accepts
    /// `max_connections` connections.
    pub fn share(&self, cpu_millis: u32, max_connections: u32) -> u32 {
        if is_large(cpu_millis, self.max_cpu_millis) {
            self.share_of_large(max_connections)
        } else {
            self.share_of_small(max_connections)
        }
    }

    /// [`Self::share`] of a large daemon.
    pub fn share_of_large(&self, max_connections: u32) -> u32 {
        let equal = self.equal_share(max_connections);
        let reserved = max_connections / LARGE_CONNECTIONS_DIVISOR / self.large.max(1);
        if self.small == 0 {
            equal
        } else {
            equal.max(reserved)
        }
    }

    /// [`Self::share`] of a small daemon. At least one, since any daemon may have a call for any
    /// server.
    pub fn share_of_small(&self, max_connections: u32) -> u32 {
        let large = self.large.saturating_mul(self.share_of_large(max_connections));
        let left = max_connections.saturating_sub(large);
        (left / self.small.max(1)).max(1)
    }

    fn equal_share(&self, max_connections: u32) -> u32 {
        (max_connections / (self.large + self.small).max(1)).max(1)
    }
}

/// Whether a daemon is large, given the CPU limit of the largest daemon.
pub fn is_large(cpu_millis: u32, max_cpu_millis: u32) -> bool {
    f64::from(cpu_millis) >= f64::from(max_cpu_millis) * LARGE_CPU_FRACTION
}

#[cfg(test)]
mod tests {
    use super::*;

    const SLOTS: u32 = 6;

    fn fleet(large: usize, small: usize) -> Daemons {
        Daemons::count(&[vec![500; large], vec![120; small]].concat())
    }

    #[test]
    fn large_daemon_share_covers_all_slots_in_any_fleet_size() {
        for (large, small) in [(15, 235), (50, 785), (100, 1570)] {
            let daemons = fleet(large, small);
            let share = daemons.share_of_large(1600);
            assert!(share >= SLOTS, "{share} of {daemons:?}");
        }
    }

    #[test]
    fn total_share_stays_within_max_connections() {
        for (large, small) in [(0, 1), (1, 0), (1, 8), (6, 61), (15, 235), (50, 785), (400, 400)] {
            for max in [100, 490, 1600] {
                let daemons = fleet(large, small);
                let most = daemons.large * daemons.share_of_large(max)
                    + daemons.small * daemons.share_of_small(max);
                // With more daemons than connections, each daemon may still have one connection.
                let bound = max.max(daemons.large + daemons.small) + daemons.small;
                assert!(most <= bound, "{most} of {max} by {daemons:?}");
                if daemons.small < max / 4 {
                    assert!(most <= max, "{most} of {max} by {daemons:?}");
                }
            }
        }
    }

    #[test]
    fn equal_daemons_get_equal_shares() {
        for daemons in [3_u32, 9, 67] {
            let millis = vec![250; daemons as usize];
            let equal = Daemons::count(&millis);
            assert_eq!(equal.share_of_large(480), 480 / daemons);
            assert!(is_large(250, 250) && is_large(0, 0));
        }
    }
}

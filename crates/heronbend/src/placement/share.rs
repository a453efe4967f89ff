//! How many requests one daemon may have at one server, so that all daemons together keep to the
//! connections that the server takes.
//!
//! Equal parts fall below a server's places once there are many daemons: of 1,600 connections each of 835
//! has one, and whoever runs a job can give each server a single text. But jobs are run by the daemons
//! with much processor, which are few, and the others send calls that are spread over all servers. So
//! half of the connections are the large daemons'.

/// A daemon with less than this share of the largest one's processor is a small one.
pub const LARGE_CPU_FRACTION: f64 = 0.5;
/// Of a server's connections one part in so many is for the large daemons alone.
const LARGE_CONNECTIONS_DIVISOR: u32 = 2;

/// The daemons that are alive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Daemons {
    /// Those with much processor.
    pub large: u32,
    /// The others.
    pub small: u32,
    /// Thousandths of a core that the largest one may use.
    max_cpu_millis: u32,
}

impl Daemons {
    /// Counts daemons by the thousandths of a core that each may use.
    pub fn count(cpu_millis: &[u32]) -> Self {
        let max_cpu_millis = cpu_millis.iter().copied().max().unwrap_or(0);
        let large =
            cpu_millis.iter().filter(|reserved| is_large(**reserved, max_cpu_millis)).count();
        let count = |daemons: usize| u32::try_from(daemons).unwrap_or(u32::MAX);
        Self { large: count(large), small: count(cpu_millis.len() - large), max_cpu_millis }
    }

    /// Requests that a daemon with so much processor may have at a server that takes so many connections.
    pub fn share(&self, cpu_millis: u32, max_connections: u32) -> u32 {
        if is_large(cpu_millis, self.max_cpu_millis) {
            self.share_of_large(max_connections)
        } else {
            self.share_of_small(max_connections)
        }
    }

    /// Requests that a large daemon may have at a server that takes so many connections.
    pub fn share_of_large(&self, max_connections: u32) -> u32 {
        let equal = self.equal_share(max_connections);
        let reserved = max_connections / LARGE_CONNECTIONS_DIVISOR / self.large.max(1);
        if self.small == 0 {
            equal
        } else {
            equal.max(reserved)
        }
    }

    /// The same for a small one; one at the least, since any daemon may have a call for any server.
    pub fn share_of_small(&self, max_connections: u32) -> u32 {
        let large = self.large.saturating_mul(self.share_of_large(max_connections));
        let left = max_connections.saturating_sub(large);
        (left / self.small.max(1)).max(1)
    }

    fn equal_share(&self, max_connections: u32) -> u32 {
        (max_connections / (self.large + self.small).max(1)).max(1)
    }
}

/// Whether a daemon has much processor, where the largest has so much.
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
    fn whoever_runs_a_job_fills_a_server_in_fleets_of_any_size() {
        // Servers that take 1,600 connections, before the daemons of the whole fleet and twice as many.
        for (large, small) in [(15, 235), (50, 785), (100, 1570)] {
            let daemons = fleet(large, small);
            let share = daemons.share_of_large(1600);
            assert!(share >= SLOTS, "{share} of {daemons:?}");
        }
    }

    #[test]
    fn all_together_keep_to_what_a_server_takes() {
        for (large, small) in [(0, 1), (1, 0), (1, 8), (6, 61), (15, 235), (50, 785), (400, 400)] {
            for max in [100, 490, 1600] {
                let daemons = fleet(large, small);
                let most = daemons.large * daemons.share_of_large(max)
                    + daemons.small * daemons.share_of_small(max);
                // Where there are more daemons than connections each may still have one.
                let bound = max.max(daemons.large + daemons.small) + daemons.small;
                assert!(most <= bound, "{most} of {max} by {daemons:?}");
                if daemons.small < max / 4 {
                    assert!(most <= max, "{most} of {max} by {daemons:?}");
                }
            }
        }
    }

    #[test]
    fn among_equal_daemons_all_have_the_same() {
        for daemons in [3_u32, 9, 67] {
            let millis = vec![250; daemons as usize];
            let equal = Daemons::count(&millis);
            assert_eq!(equal.share_of_large(480), 480 / daemons);
            assert!(is_large(250, 250) && is_large(0, 0));
        }
    }
}

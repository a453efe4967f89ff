//! The back ends that one daemon sends to.

use std::hash::Hasher;

use rapidhash::fast::RapidHasher;

use crate::lifecycle::Backend;

/// Score of a pair; each key orders all candidates differently, and a candidate that joins or leaves
/// moves only its own share of keys (Thaler and Ravishankar, 1998).
pub fn rendezvous_score(key: &[u8], candidate: &[u8]) -> u64 {
    let mut hasher = RapidHasher::default();
    hasher.write(key);
    hasher.write_u8(0);
    hasher.write(candidate);
    hasher.finish()
}

/// Picks `size` back ends for a daemon: those of its own zone first, then by rendezvous score.
///
/// The choice depends on the daemon's identity alone, so every daemon computes its own without
/// agreement, and scores spread daemons evenly over back ends.
pub fn choose_subset<'a>(
    daemon: &str,
    zone: &str,
    size: usize,
    backends: impl Iterator<Item = &'a Backend>,
) -> Vec<&'a Backend> {
    let mut scored: Vec<_> = backends
        .map(|backend| {
            let score = rendezvous_score(daemon.as_bytes(), backend.name.0.as_bytes());
            (backend.zone != zone, std::cmp::Reverse(score), backend)
        })
        .collect();
    scored.sort_by_key(|(other_zone, score, _)| (*other_zone, *score));
    scored.truncate(size);
    scored.into_iter().map(|(_, _, backend)| backend).collect()
}

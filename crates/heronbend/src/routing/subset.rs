//! Backend subsets and rendezvous hashing.

use std::hash::Hasher;

use rapidhash::fast::RapidHasher;

use crate::lifecycle::Backend;

/// Returns the rendezvous hashing score of a candidate for a key.
///
/// Adding or removing a candidate only moves the keys for which that candidate scores highest
/// (Thaler and Ravishankar, 1998).
pub fn rendezvous_score(key: &[u8], candidate: &[u8]) -> u64 {
    let mut hasher = RapidHasher::default();
    hasher.write(key);
    hasher.write_u8(0);
    hasher.write(candidate);
    hasher.finish()
}

/// Chooses at most `size` backends for a daemon, its own zone first, then by rendezvous score.
///
/// The choice is a function of the daemon's name and the backends, so daemons need no coordination.
/// Each backend is chosen by about the same number of daemons.
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

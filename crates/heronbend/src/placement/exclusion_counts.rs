//! Counts of the reasons that exclude servers from a request.

use std::collections::BTreeMap;

use super::eligibility::Exclusion;

/// Number of excluded servers by reason.
#[derive(Debug, Clone, Default)]
pub struct ExclusionCounts {
    counts: BTreeMap<Exclusion, u32>,
}

impl ExclusionCounts {
    /// Counts an excluded server.
    pub fn add(&mut self, exclusion: Exclusion) {
        *self.counts.entry(exclusion).or_default() += 1;
    }

    /// Whether any server is excluded for a reason.
    pub fn contains(&self, exclusion: Exclusion) -> bool {
        self.counts.contains_key(&exclusion)
    }

    /// Returns the most frequent reason, ignoring servers that are not ready unless all are.
    /// Evacuation and disallowed regions count only if there are no other reasons, since servers
    /// excluded for other reasons may become available soon.
    pub fn dominant(&self) -> Option<Exclusion> {
        let is_persistent = |exclusion: &Exclusion| {
            matches!(exclusion, Exclusion::Evacuated | Exclusion::RegionNotAllowed)
        };
        let present =
            self.counts.iter().filter(|(exclusion, _)| **exclusion != Exclusion::NotReady);
        let transient = present.clone().filter(|(exclusion, _)| !is_persistent(exclusion));
        let most_frequent = |counts: &mut dyn Iterator<Item = (&Exclusion, &u32)>| {
            counts.max_by_key(|(_, count)| **count).map(|(exclusion, _)| *exclusion)
        };
        most_frequent(&mut transient.clone())
            .or_else(|| most_frequent(&mut present.clone()))
            .or_else(|| self.contains(Exclusion::NotReady).then_some(Exclusion::NotReady))
    }
}

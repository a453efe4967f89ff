//! What keeps servers from a request.

use std::collections::BTreeMap;

use super::eligibility::Exclusion;

/// What keeps servers from a request, counted.
#[derive(Debug, Clone, Default)]
pub struct ExclusionCounts {
    counts: BTreeMap<Exclusion, u32>,
}

impl ExclusionCounts {
    /// Adds a server that something keeps.
    pub fn add(&mut self, exclusion: Exclusion) {
        *self.counts.entry(exclusion).or_default() += 1;
    }

    /// What keeps most of the servers that are there from it. An operator's word counts only where
    /// it concerns all of them: the others may have a place soon.
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
            .or_else(|| {
                self.counts.contains_key(&Exclusion::NotReady).then_some(Exclusion::NotReady)
            })
    }
}

//! What keeps servers from a request.

use std::collections::BTreeMap;

use super::eligible::Exclusion;

/// What keeps servers from a request, counted.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    counts: BTreeMap<Exclusion, u32>,
}

impl Tally {
    /// Adds a server that something keeps.
    pub fn add(&mut self, exclusion: Exclusion) {
        *self.counts.entry(exclusion).or_default() += 1;
    }

    /// What keeps most of the servers that are there from it. An operator's word counts only where
    /// it concerns all of them: the others may have a place soon.
    pub fn reason(&self) -> Option<Exclusion> {
        let is_persistent = |exclusion: &Exclusion| {
            matches!(exclusion, Exclusion::Evacuated | Exclusion::OutsideHomes)
        };
        let there = self.counts.iter().filter(|(exclusion, _)| **exclusion != Exclusion::Gone);
        let passing = there.clone().filter(|(exclusion, _)| !is_persistent(exclusion));
        let most = |counts: &mut dyn Iterator<Item = (&Exclusion, &u32)>| {
            counts.max_by_key(|(_, count)| **count).map(|(exclusion, _)| *exclusion)
        };
        most(&mut passing.clone())
            .or_else(|| most(&mut there.clone()))
            .or_else(|| self.counts.contains_key(&Exclusion::Gone).then_some(Exclusion::Gone))
    }
}

//! Weighted max-min fair division of a capacity.

/// A claim on a part of the capacity.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Claim {
    /// Largest useful part; may be infinite.
    pub demand: f64,
    /// Weight against other claims; positive.
    pub weight: f64,
}

/// Returns the part of each claim, in the order of `claims`.
///
/// A part never grows when the demand or the weight of another claim grows.
pub(super) fn divide(capacity: f64, claims: &[Claim]) -> Vec<f64> {
    let mut parts = vec![0.0; claims.len()];
    let mut order: Vec<usize> =
        (0..claims.len()).filter(|index| claims[*index].demand > 0.0).collect();
    order.sort_by(|a, b| level(&claims[*a]).total_cmp(&level(&claims[*b])));
    let mut weight_left: f64 = order.iter().map(|index| claims[*index].weight).sum();
    let mut left = capacity.max(0.0);
    for index in order {
        let claim = claims[index];
        let part = claim.demand.min(left * claim.weight / weight_left);
        parts[index] = part;
        left = (left - part).max(0.0);
        weight_left -= claim.weight;
    }
    parts
}

/// The water level at which a claim is satisfied.
fn level(claim: &Claim) -> f64 {
    claim.demand / claim.weight
}

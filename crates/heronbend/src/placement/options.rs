//! Optional parts of the ranking of servers.

/// Which optional parts of the ranking are enabled.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RankOptions {
    /// Whether the load that servers report is taken into account.
    pub server_load: bool,
    /// Whether the speed of a server is known by two time scales.
    pub two_speeds: bool,
    /// Whether calls leave their zone only if its servers would be late.
    pub spill_by_need: bool,
}

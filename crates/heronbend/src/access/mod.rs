//! Who may call: tenants and the keys that they hold.
//!
//! Keys are kept as keyed digests under a secret that each process draws for itself, so neither a
//! dump of a daemon's memory nor a log line gives one away, and a look-up's time tells nothing of
//! the keys that are held.

mod keyring;
#[cfg(test)]
mod tests;

pub use keyring::Finding;
pub use keyring::KeyHasher;
pub use keyring::Keyring;
pub use keyring::Registration;
pub use keyring::Tenant;
pub use keyring::TenantKey;

/// On whose behalf a call is made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Caller {
    /// The configuration names no tenants: nobody is told apart.
    Anyone,
    /// A caller without a key, where a route demands none.
    Public,
    /// A holder of one of this tenant's keys.
    Tenant(Box<str>),
}

impl Caller {
    /// The tenant's name, if there is one.
    pub fn tenant(&self) -> Option<&str> {
        match self {
            Self::Tenant(name) => Some(name),
            Self::Anyone | Self::Public => None,
        }
    }

    /// Whether this caller may know of what belongs to `owner`; nobody owns what was handed in
    /// without a key.
    pub fn may_see(&self, owner: Option<&str>) -> bool {
        match (self, owner) {
            (Self::Anyone, _) | (_, None) => true,
            (Self::Public, Some(_)) => false,
            (Self::Tenant(name), Some(owner)) => **name == *owner,
        }
    }
}

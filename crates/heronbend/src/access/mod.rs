//! Authentication of callers: tenants and their API keys.
//!
//! Keys are stored as keyed digests under a random secret of the process. Neither a memory dump nor
//! a log line reveals a key, and the time of a lookup does not depend on the stored keys.

mod keyring;
#[cfg(test)]
mod tests;

pub use keyring::Finding;
pub use keyring::KeyHasher;
pub use keyring::Keyring;
pub use keyring::Tenant;
pub use keyring::TenantConfig;
pub use keyring::TenantIndex;

/// Identity of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Caller {
    /// The configuration has no tenants, so callers are not distinguished.
    AuthDisabled,
    /// A caller without a key, on a route that requires none.
    Anonymous,
    /// A caller with a key of the named tenant.
    Tenant(Box<str>),
}

impl Caller {
    /// Name of the caller's tenant, if any.
    pub fn tenant(&self) -> Option<&str> {
        match self {
            Self::Tenant(name) => Some(name),
            Self::AuthDisabled | Self::Anonymous => None,
        }
    }

    /// Whether this caller may access a resource of the tenant `owner`. A resource that was created
    /// without a key has no owner.
    pub fn can_access(&self, owner: Option<&str>) -> bool {
        match (self, owner) {
            (Self::AuthDisabled, _) | (_, None) => true,
            (Self::Anonymous, Some(_)) => false,
            (Self::Tenant(name), Some(owner)) => **name == *owner,
        }
    }
}

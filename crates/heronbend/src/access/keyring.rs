//! Tenants and the lookup by digests of their keys.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::fmt;

use rand::Rng;
use zeroize::Zeroizing;

/// Length of the hash secret in bytes, as required by keyed BLAKE3.
const SECRET_BYTES: usize = 32;

/// Hashes keys with a random secret.
#[derive(Clone)]
pub struct KeyHasher(Zeroizing<[u8; SECRET_BYTES]>);

impl KeyHasher {
    /// Creates a hasher with a new random secret.
    pub fn random() -> Self {
        Self(Zeroizing::new(rand::rng().random()))
    }

    /// Keyed digest of a key; digests compare in constant time.
    fn digest(&self, key: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.0, key)
    }
}

impl fmt::Debug for KeyHasher {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyHasher")
    }
}

/// A tenant entry of the configuration.
pub struct TenantConfig {
    /// Name, unique in a configuration.
    pub name: String,
    /// Priority, 0 being the highest; overrides that of a route.
    pub priority: Option<u8>,
    /// API keys; zeroed on drop.
    pub keys: Vec<Zeroizing<String>>,
}

/// Index of a tenant in its keyring.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct TenantIndex(u32);

/// A tenant of a keyring.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tenant {
    /// Name, unique in a configuration.
    pub name: Box<str>,
    /// Priority, 0 being the highest; overrides that of a route.
    pub priority: Option<u8>,
}

/// A mistake in the list of tenants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Name of the tenant.
    pub tenant: String,
    /// Description of the mistake; contains no key.
    pub problem: String,
}

/// The tenants of one configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Keyring {
    tenants: Vec<Tenant>,
    tenants_by_digest: HashMap<blake3::Hash, TenantIndex>,
}

impl Keyring {
    /// Builds the keyring of a configuration and collects all mistakes in it. A key listed by two
    /// tenants belongs to the first one.
    pub fn new(tenant_configs: Vec<TenantConfig>, hasher: &KeyHasher) -> (Self, Vec<Finding>) {
        let mut keyring = Self::default();
        let mut findings = Vec::new();
        let mut names = BTreeSet::new();
        for tenant_config in tenant_configs {
            let mut report = |problem: String| {
                findings.push(Finding { tenant: tenant_config.name.clone(), problem });
            };
            if !names.insert(tenant_config.name.clone()) {
                report("is listed twice".to_owned());
            }
            if tenant_config.keys.is_empty() {
                report("has no key".to_owned());
            }
            let index = u32::try_from(keyring.tenants.len()).unwrap_or(u32::MAX);
            let index = TenantIndex(index);
            for (number, key) in tenant_config.keys.iter().enumerate() {
                let owner = *keyring
                    .tenants_by_digest
                    .entry(hasher.digest(key.as_bytes()))
                    .or_insert(index);
                if owner != index {
                    let other = &keyring.tenants[owner.0 as usize].name;
                    report(format!("key {number} also belongs to {other}"));
                }
            }
            let name = tenant_config.name.as_str().into();
            keyring.tenants.push(Tenant { name, priority: tenant_config.priority });
        }
        (keyring, findings)
    }

    /// Looks up the tenant of a key.
    pub fn tenant_for_key(&self, key: &[u8], hasher: &KeyHasher) -> Option<TenantIndex> {
        self.tenants_by_digest.get(&hasher.digest(key)).copied()
    }

    /// The tenant at an index of this keyring.
    pub fn tenant(&self, index: TenantIndex) -> &Tenant {
        &self.tenants[index.0 as usize]
    }

    /// Looks up a tenant by name.
    pub fn tenant_by_name(&self, name: &str) -> Option<&Tenant> {
        self.tenants.iter().find(|tenant| *tenant.name == *name)
    }

    /// Number of tenants.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Whether the keyring has no tenants.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }
}

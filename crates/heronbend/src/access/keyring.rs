//! Tenants in an arena, found by the digests of their keys.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::fmt;

use rand::Rng;
use zeroize::Zeroizing;

/// Bytes of the secret under which keys are hashed, as the hash function demands.
const SECRET_BYTES: usize = 32;

/// Hashes keys under a secret of this process.
#[derive(Clone)]
pub struct KeyHasher(Zeroizing<[u8; SECRET_BYTES]>);

impl KeyHasher {
    /// A hasher with a secret of its own.
    pub fn random() -> Self {
        Self(Zeroizing::new(rand::rng().random()))
    }

    /// Digests compare in constant time.
    fn digest(&self, key: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.0, key)
    }
}

impl fmt::Debug for KeyHasher {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyHasher")
    }
}

/// A tenant as a configuration states it.
pub struct Registration {
    /// Its name, unique in a configuration.
    pub name: String,
    /// Its rank, 0 the highest; it goes before that of a route.
    pub priority: Option<u8>,
    /// Its keys; wiped when this is dropped.
    pub keys: Vec<Zeroizing<String>>,
}

/// Place of a tenant in its keyring.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct TenantKey(u32);

/// A tenant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tenant {
    /// Its name.
    pub name: Box<str>,
    /// Its rank, 0 the highest; it goes before that of a route.
    pub priority: Option<u8>,
}

/// Something in the list of tenants that cannot be meant so.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The tenant.
    pub tenant: String,
    /// What is wrong; holds no key.
    pub problem: String,
}

/// The tenants of one configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Keyring {
    tenants: Vec<Tenant>,
    holders: HashMap<blake3::Hash, TenantKey>,
}

impl Keyring {
    /// The tenants of a configuration, with all that is wrong in it. A key that two tenants state
    /// is the first one's.
    pub fn new(registrations: Vec<Registration>, hasher: &KeyHasher) -> (Self, Vec<Finding>) {
        let mut keyring = Self::default();
        let mut findings = Vec::new();
        let mut names = BTreeSet::new();
        for registration in registrations {
            let mut report = |problem: String| {
                findings.push(Finding { tenant: registration.name.clone(), problem });
            };
            if !names.insert(registration.name.clone()) {
                report("is stated twice".to_owned());
            }
            if registration.keys.is_empty() {
                report("has no key".to_owned());
            }
            let place = u32::try_from(keyring.tenants.len()).unwrap_or(u32::MAX);
            let place = TenantKey(place);
            for (number, key) in registration.keys.iter().enumerate() {
                let holder = *keyring.holders.entry(hasher.digest(key.as_bytes())).or_insert(place);
                if holder != place {
                    let other = &keyring.tenants[holder.0 as usize].name;
                    report(format!("key {number} is held by {other} as well"));
                }
            }
            let name = registration.name.as_str().into();
            keyring.tenants.push(Tenant { name, priority: registration.priority });
        }
        (keyring, findings)
    }

    /// The tenant that holds a key, if any does.
    pub fn holder(&self, key: &[u8], hasher: &KeyHasher) -> Option<TenantKey> {
        self.holders.get(&hasher.digest(key)).copied()
    }

    /// A tenant of this keyring.
    pub fn tenant(&self, key: TenantKey) -> &Tenant {
        &self.tenants[key.0 as usize]
    }

    /// A tenant by its name.
    pub fn named(&self, name: &str) -> Option<&Tenant> {
        self.tenants.iter().find(|tenant| *tenant.name == *name)
    }

    /// How many tenants there are.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }
}

//! Interned names and keys of servers, which are cheap to copy and compare.

use std::collections::HashMap;
use std::marker::PhantomData;

macro_rules! key {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(u32);

        impl From<u32> for $name {
            fn from(index: u32) -> Self {
                Self(index)
            }
        }

        impl From<$name> for u32 {
            fn from(key: $name) -> Self {
                key.0
            }
        }
    };
}

key!(
    /// Key of a service.
    ServiceKey
);
key!(
    /// Key of a zone.
    ZoneKey
);
key!(
    /// Key of a region.
    RegionKey
);
key!(
    /// Key of a model.
    ModelKey
);
key!(
    /// Key of a set of regions.
    RegionSetKey
);

/// Key of a server in the arena. Keys are never reused for another server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerKey {
    /// Index in the arena.
    pub(super) index: u32,
    /// Number of servers that occupied the index before.
    pub(super) generation: u32,
}

/// Interner of names. Names are never removed.
#[derive(Debug)]
pub struct Interner<K> {
    keys: HashMap<String, u32>,
    names: Vec<String>,
    marker: PhantomData<K>,
}

impl<K> Default for Interner<K> {
    fn default() -> Self {
        Self { keys: HashMap::new(), names: Vec::new(), marker: PhantomData }
    }
}

impl<K: From<u32> + Into<u32>> Interner<K> {
    /// Returns the key of a name, adding it if necessary.
    pub fn key(&mut self, name: &str) -> K {
        if let Some(key) = self.keys.get(name) {
            return K::from(*key);
        }
        let key = u32::try_from(self.names.len()).unwrap_or(u32::MAX);
        self.names.push(name.to_owned());
        self.keys.insert(name.to_owned(), key);
        K::from(key)
    }

    /// Returns the name of a key.
    pub fn name(&self, key: K) -> &str {
        let index: u32 = key.into();
        self.names.get(index as usize).map_or("", String::as_str)
    }
}

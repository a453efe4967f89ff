//! Small keys that stand for names, so that decisions compare numbers.

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
    /// A service.
    ServiceKey
);
key!(
    /// A zone.
    ZoneKey
);
key!(
    /// A region.
    RegionKey
);
key!(
    /// A model.
    ModelKey
);
key!(
    /// A set of regions in which a request may run.
    RegionSetKey
);

/// A server in the arena. A key whose server is gone never means another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerKey {
    /// Place in the arena.
    pub(super) index: u32,
    /// How many servers have had that place before.
    pub(super) generation: u32,
}

/// Names with their keys. Names are never given up: services, zones, regions and models are few.
#[derive(Debug)]
pub struct Names<K> {
    keys: HashMap<String, u32>,
    names: Vec<String>,
    kind: PhantomData<K>,
}

impl<K> Default for Names<K> {
    fn default() -> Self {
        Self { keys: HashMap::new(), names: Vec::new(), kind: PhantomData }
    }
}

impl<K: From<u32> + Into<u32>> Names<K> {
    /// The key of a name, made where there is none yet.
    pub fn key(&mut self, name: &str) -> K {
        if let Some(key) = self.keys.get(name) {
            return K::from(*key);
        }
        let key = u32::try_from(self.names.len()).unwrap_or(u32::MAX);
        self.names.push(name.to_owned());
        self.keys.insert(name.to_owned(), key);
        K::from(key)
    }

    /// The name of a key.
    pub fn name(&self, key: K) -> &str {
        let index: u32 = key.into();
        self.names.get(index as usize).map_or("", String::as_str)
    }
}

//! Additional data for the keys of a primary map.

use std::marker;
use std::ops;

use crate::key;

/// Maps every key to a value; keys that were never set have the default value.
#[derive(Debug, Clone)]
pub struct SecondaryMap<K: key::EntityKey, V: Clone> {
    values: Vec<V>,
    default: V,
    keys: marker::PhantomData<K>,
}

impl<K: key::EntityKey, V: Clone> SecondaryMap<K, V> {
    /// Creates a map in which every key has the default value.
    #[must_use]
    pub const fn new(default: V) -> Self {
        Self { values: Vec::new(), default, keys: marker::PhantomData }
    }

    /// Resets every key to the default value and keeps the allocation.
    pub fn clear(&mut self) {
        self.values.clear();
    }
}

impl<K: key::EntityKey, V: Clone + Default> Default for SecondaryMap<K, V> {
    fn default() -> Self {
        Self::new(V::default())
    }
}

impl<K: key::EntityKey, V: Clone> ops::Index<K> for SecondaryMap<K, V> {
    type Output = V;

    fn index(&self, key: K) -> &V {
        self.values.get(key.index()).unwrap_or(&self.default)
    }
}

impl<K: key::EntityKey, V: Clone> ops::IndexMut<K> for SecondaryMap<K, V> {
    fn index_mut(&mut self, key: K) -> &mut V {
        if key.index() >= self.values.len() {
            self.values.resize(key.index() + 1, self.default.clone());
        }
        &mut self.values[key.index()]
    }
}

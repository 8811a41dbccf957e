//! The map that owns entities and allocates their keys.

use std::marker;
use std::ops;

use crate::key;

/// Owns the values of one kind of entity, indexed by a dense key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrimaryMap<K: key::EntityKey, V> {
    values: Vec<V>,
    keys: marker::PhantomData<K>,
}

impl<K: key::EntityKey, V> PrimaryMap<K, V> {
    /// Creates an empty map.
    #[must_use]
    pub const fn new() -> Self {
        Self { values: Vec::new(), keys: marker::PhantomData }
    }

    /// Appends a value and returns its key.
    pub fn push(&mut self, value: V) -> K {
        let key = K::from_index(self.values.len());
        self.values.push(value);
        key
    }

    /// Returns the value of a key, or `None` if the key is not in the map.
    #[must_use]
    pub fn get(&self, key: K) -> Option<&V> {
        self.values.get(key.index())
    }

    /// Returns a mutable reference to the value of a key, or `None` if the key is not in the map.
    pub fn get_mut(&mut self, key: K) -> Option<&mut V> {
        self.values.get_mut(key.index())
    }

    /// Returns the number of entities.
    #[must_use]
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Returns true if the map has no entities.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }

    /// Iterates over the keys in order.
    pub fn keys(&self) -> impl Iterator<Item = K> + use<K, V> {
        (0..self.values.len()).map(K::from_index)
    }

    /// Iterates over the values in key order.
    pub fn values(&self) -> std::slice::Iter<'_, V> {
        self.values.iter()
    }

    /// Iterates over keys and values in key order.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.values.iter().enumerate().map(|(index, value)| (K::from_index(index), value))
    }

    /// Iterates over keys and mutable values in key order.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (K, &mut V)> {
        self.values.iter_mut().enumerate().map(|(index, value)| (K::from_index(index), value))
    }
}

impl<K: key::EntityKey, V> Default for PrimaryMap<K, V> {
    fn default() -> Self {
        Self::new()
    }
}

impl<K: key::EntityKey, V> FromIterator<V> for PrimaryMap<K, V> {
    fn from_iter<I: IntoIterator<Item = V>>(values: I) -> Self {
        Self { values: values.into_iter().collect(), keys: marker::PhantomData }
    }
}

impl<K: key::EntityKey, V> ops::Index<K> for PrimaryMap<K, V> {
    type Output = V;

    fn index(&self, key: K) -> &V {
        &self.values[key.index()]
    }
}

impl<K: key::EntityKey, V> ops::IndexMut<K> for PrimaryMap<K, V> {
    fn index_mut(&mut self, key: K) -> &mut V {
        &mut self.values[key.index()]
    }
}

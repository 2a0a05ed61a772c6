//! Set of endpoint keys with random access by position, for drawing members at random.

use std::collections::HashMap;

use rand::{Rng as _, RngCore};

use crate::endpoint::Key;

/// Keys in arbitrary order. Insertion, removal, look-up and draw take constant time.
#[derive(Debug, Default)]
pub(crate) struct Set {
    keys: Vec<Key>,
    /// Position of each key in `keys`.
    positions: HashMap<Key, usize>,
}

impl Set {
    /// Returns the number of keys.
    pub(crate) fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns the key at a position; panics unless the position is below [`Set::len`].
    pub(crate) fn get(&self, position: usize) -> Key {
        self.keys[position]
    }

    /// Returns the keys in arbitrary order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = Key> + '_ {
        self.keys.iter().copied()
    }

    /// Returns whether the set has a key.
    pub(crate) fn contains(&self, key: Key) -> bool {
        self.positions.contains_key(&key)
    }

    /// Adds a key if `member` is true, else removes it.
    pub(crate) fn set(&mut self, key: Key, member: bool) {
        if member {
            self.insert(key);
        } else {
            self.remove(key);
        }
    }

    /// Adds a key unless the set has it.
    fn insert(&mut self, key: Key) {
        if self.contains(key) {
            return;
        }
        self.positions.insert(key, self.keys.len());
        self.keys.push(key);
    }

    /// Removes a key if the set has it; the last key takes over its position.
    fn remove(&mut self, key: Key) {
        let Some(position) = self.positions.remove(&key) else {
            return;
        };
        self.keys.swap_remove(position);
        if let Some(&moved) = self.keys.get(position) {
            self.positions.insert(moved, position);
        }
    }
}

/// Draws a key at random from the union of two disjoint sets; `None` if both are empty.
pub(crate) fn draw(first: &Set, second: &Set, rng: &mut dyn RngCore) -> Option<Key> {
    let total = first.len() + second.len();
    if total == 0 {
        return None;
    }
    let position = rng.random_range(0..total);
    Some(match position.checked_sub(first.len()) {
        None => first.get(position),
        Some(rest) => second.get(rest),
    })
}

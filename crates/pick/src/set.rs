//! A set with random access by position.

use std::collections::HashMap;

use rand::{Rng as _, RngCore};

use crate::endpoint::Key;

/// Keys in no particular order.
#[derive(Debug, Default)]
pub(crate) struct Set {
    keys: Vec<Key>,
    places: HashMap<Key, usize>,
}

impl Set {
    pub(crate) fn len(&self) -> usize {
        self.keys.len()
    }

    pub(crate) fn get(&self, place: usize) -> Key {
        self.keys[place]
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = Key> + '_ {
        self.keys.iter().copied()
    }

    pub(crate) fn contains(&self, key: Key) -> bool {
        self.places.contains_key(&key)
    }

    /// Adds or removes a key.
    pub(crate) fn set(&mut self, key: Key, member: bool) {
        if member {
            self.insert(key);
        } else {
            self.remove(key);
        }
    }

    fn insert(&mut self, key: Key) {
        if self.contains(key) {
            return;
        }
        self.places.insert(key, self.keys.len());
        self.keys.push(key);
    }

    fn remove(&mut self, key: Key) {
        let Some(place) = self.places.remove(&key) else {
            return;
        };
        self.keys.swap_remove(place);
        if let Some(&moved) = self.keys.get(place) {
            self.places.insert(moved, place);
        }
    }
}

/// A key drawn from two sets as if they were one.
pub(crate) fn draw(first: &Set, second: &Set, rng: &mut dyn RngCore) -> Option<Key> {
    let total = first.len() + second.len();
    if total == 0 {
        return None;
    }
    let place = rng.random_range(0..total);
    Some(match place.checked_sub(first.len()) {
        None => first.get(place),
        Some(rest) => second.get(rest),
    })
}

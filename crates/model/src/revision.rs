//! Revisions of a store's commits, ordered by the era of the store first.
//!
//! A store that returns from an older copy gives out numbers again that it had given out before, and counts its
//! returns in an era. A [`Revision`] holds both, so that whatever compares revisions compares eras before numbers. Only a
//! client of a store takes revisions apart.

use crate::id::{Era, Revision};

/// Bits of the number of a commit within its era; the era is above them.
const NUMBER_BITS: u32 = 40;
/// Largest number of a commit.
const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;
/// Largest era.
const MAX_ERA: Era = (1 << (u64::BITS - NUMBER_BITS)) - 1;

/// Returns the revision of the commit with a number in an era; `None` if one of them is too large.
pub fn join(era: Era, number: u64) -> Option<Revision> {
    let fits = era <= MAX_ERA && number <= MAX_NUMBER;
    fits.then_some(era << NUMBER_BITS | number)
}

/// Returns the era in which a revision was given out; 0 if its store counts none.
pub fn era(revision: Revision) -> Era {
    revision >> NUMBER_BITS
}

/// Returns the number of a revision's commit within its era, as the store writes it.
pub fn number(revision: Revision) -> u64 {
    revision & MAX_NUMBER
}

/// Returns whether both revisions were given out in the same era, so that the state at one includes the commits up to
/// the other.
pub fn is_same_era(left: Revision, right: Revision) -> bool {
    era(left) == era(right)
}

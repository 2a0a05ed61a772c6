//! When a change counts as accepted, and how a copy moves forward.

use agate_model::id::Version;

use crate::witness::{History, Set, Witness};

/// What is known of a witness.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Standing {
    /// It took up this version, and keeps it or a newer one as long as its run lasts.
    Has(Version),
    /// Its run has ended: it will attest nothing more.
    Ended,
    /// Nothing is known.
    Unknown,
}

impl Standing {
    fn rules_out_below(self, version: Version) -> bool {
        match self {
            Self::Has(has) => has >= version,
            Self::Ended => true,
            Self::Unknown => false,
        }
    }
}

/// Whether no majority can attest to a version below `version` any more.
///
/// Every set in force at an older version needs a majority of its own, because a host
/// that is behind counts the attestations of the set that it knows.
pub fn is_accepted(
    version: Version,
    sets: &History,
    standing: &dyn Fn(&Witness) -> Standing,
) -> bool {
    let rules_out = |it: &&Witness| sets.has_ended(it) || standing(it).rules_out_below(version);
    sets.below(version).all(|set| is_covered(set, &rules_out))
}

fn is_covered(set: &Set, rules_out: &dyn Fn(&&Witness) -> bool) -> bool {
    let count = set.members.iter().filter(rules_out).count();
    set.members.is_empty() || count >= set.majority()
}

/// Version of a host that has `have` and is handed `offered`.
pub fn take_up(have: Version, offered: Version) -> Version {
    have.max(offered)
}

//! Acceptance of a version, and the order in which a host takes up versions.

use agate_model::id::Version;

use crate::witness::{History, Set, Witness};

/// What is known of the version that a witness may still attest to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Standing {
    /// The witness took up this version, and keeps it or a newer one until its process ends.
    Has(Version),
    /// The process incarnation has ended, so it makes no further attestation.
    Ended,
    /// Nothing is known, so the witness may still attest to any version.
    Unknown,
}

impl Standing {
    fn rules_out_below(self, version: Version) -> bool {
        match self {
            Self::Has(held) => held >= version,
            Self::Ended => true,
            Self::Unknown => false,
        }
    }
}

/// Returns whether no majority can attest to a version below `version` any more.
///
/// This needs a majority of every set in force at an older version, because a host whose copy is
/// behind counts the attestations of the set that it knows.
pub fn is_accepted(
    version: Version,
    sets: &History,
    standing: &dyn Fn(&Witness) -> Standing,
) -> bool {
    let rules_out =
        |witness: &&Witness| sets.has_ended(witness) || standing(witness).rules_out_below(version);
    sets.below(version).all(|set| is_ruled_out(set, &rules_out))
}

fn is_ruled_out(set: &Set, rules_out: &dyn Fn(&&Witness) -> bool) -> bool {
    let count = set.members.iter().filter(rules_out).count();
    set.members.is_empty() || count >= set.majority()
}

/// Returns the version of a host that holds `held` after it was offered `offered`: the newer one,
/// so a copy never goes back.
pub fn take_up(held: Version, offered: Version) -> Version {
    held.max(offered)
}

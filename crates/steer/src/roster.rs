//! The newest lists of the platform that this host knows.

use std::cell::RefCell;
use std::time::Duration;

use agate_member::frame;
use agate_wire::peer::{self, Lists};
use sha2::{Digest as _, Sha256};
use tokio::time::Instant;

use crate::rpc::peer::millis;

/// Lists with the time at which this host or a peer read them from the platform.
#[derive(Debug, Default)]
pub struct Roster {
    read: RefCell<Option<Read>>,
}

#[derive(Debug)]
struct Read {
    at: Instant,
    digest: u32,
    lists: Lists,
}

impl Roster {
    /// Returns the time since the lists were read; `None` if there are none.
    pub fn age(&self) -> Option<Duration> {
        self.read.borrow().as_ref().map(|read| read.at.elapsed())
    }

    /// Replaces the lists by ones that were read at `at`, unless these are no newer. Returns
    /// whether they were replaced.
    pub fn replace(&self, lists: &Lists, at: Instant) -> bool {
        let mut read = self.read.borrow_mut();
        if read.as_ref().is_some_and(|known| known.at >= at) {
            return false;
        }
        *read = Some(Read {
            at,
            digest: digest(lists),
            lists: lists.clone(),
        });
        true
    }

    /// Compares with the mark of a peer's lists, from a response to a request sent at `sent`.
    /// Returns whether the peer has newer lists with other contents. Newer lists with the same
    /// digest renew the age of the lists here.
    pub fn compare(&self, mark: frame::Lists, sent: Instant) -> bool {
        let age = Duration::from_millis(u64::from(mark.age_ms));
        let Some(at) = sent.checked_sub(age) else {
            return false;
        };
        match self.read.borrow_mut().as_mut() {
            Some(read) if at <= read.at => false,
            Some(read) if read.digest == mark.digest => {
                read.at = at;
                false
            }
            _ => true,
        }
    }

    /// Returns the digest and age of the lists, for gossip frames; `None` if there are none.
    pub fn mark(&self) -> Option<frame::Lists> {
        let read = self.read.borrow();
        let read = read.as_ref()?;
        let age_ms = u32::try_from(millis(read.at.elapsed())).ok()?;
        Some(frame::Lists {
            digest: read.digest,
            age_ms,
        })
    }

    /// Returns the lists with their age, for a peer; `None` if there are none.
    pub fn export(&self) -> Option<peer::Roster> {
        let read = self.read.borrow();
        let read = read.as_ref()?;
        Some(peer::Roster {
            age_ms: millis(read.at.elapsed()),
            lists: read.lists.clone(),
        })
    }
}

fn digest(lists: &Lists) -> u32 {
    let json = serde_json::to_vec(lists).expect("lists serialize to JSON");
    let digest: [u8; 32] = Sha256::digest(json).into();
    let mut first = [0; 4];
    first.copy_from_slice(&digest[..4]);
    u32::from_be_bytes(first)
}

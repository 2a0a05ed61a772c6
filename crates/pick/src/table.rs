//! Rendezvous hashing with a precomputed table.

use crate::endpoint::Key;

/// Buckets of a table.
const BUCKETS: usize = 2048;
/// Endpoints kept for each bucket, best first.
pub(crate) const DEPTH: usize = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Member {
    key: Key,
    seed: u64,
}

/// The highest-ranked endpoints of each bucket.
///
/// The ranks depend on the endpoints' names only, so all hosts agree. A lookup
/// takes constant time; a change of membership touches each bucket once.
#[derive(Debug)]
pub(crate) struct Table {
    members: Vec<Member>,
    buckets: Vec<[Option<Member>; DEPTH]>,
}

impl Default for Table {
    fn default() -> Self {
        Self {
            members: Vec::new(),
            buckets: vec![[None; DEPTH]; BUCKETS],
        }
    }
}

impl Table {
    pub(crate) fn insert(&mut self, key: Key, id: &str) {
        if self.members.iter().any(|it| it.key == key) {
            return;
        }
        let member = Member { key, seed: fnv(id) };
        self.members.push(member);
        for (n, bucket) in self.buckets.iter_mut().enumerate() {
            place(n, bucket, member);
        }
    }

    pub(crate) fn remove(&mut self, key: Key) {
        self.members.retain(|it| it.key != key);
        for (n, bucket) in self.buckets.iter_mut().enumerate() {
            if !bucket.iter().flatten().any(|it| it.key == key) {
                continue;
            }
            *bucket = [None; DEPTH];
            for &member in &self.members {
                place(n, bucket, member);
            }
        }
    }

    /// Endpoints for a hash, best first.
    pub(crate) fn get(&self, hash: u64) -> impl Iterator<Item = Key> + '_ {
        let bucket = mix(hash) as usize % BUCKETS;
        self.buckets[bucket].iter().flatten().map(|it| it.key)
    }
}

/// Puts a member in its place of a bucket, if it ranks high enough.
fn place(n: usize, bucket: &mut [Option<Member>; DEPTH], member: Member) {
    let mut moving = member;
    for slot in bucket {
        match slot {
            None => {
                *slot = Some(moving);
                return;
            }
            Some(held) if rank(n, moving) > rank(n, *held) => std::mem::swap(held, &mut moving),
            Some(_) => {}
        }
    }
}

fn rank(bucket: usize, member: Member) -> (u64, u64) {
    (mix(member.seed ^ mix(bucket as u64)), member.seed)
}

/// Finalizer of SplitMix64.
pub(crate) fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// FNV-1a, the same on every host.
fn fnv(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

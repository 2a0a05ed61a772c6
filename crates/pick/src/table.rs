//! Rendezvous hashing with a precomputed table, for prefix affinity.

use crate::endpoint::Key;

/// Number of buckets that hashes are mapped to.
const BUCKETS: usize = 2048;
/// Endpoints kept for each bucket, from the highest rank down.
pub(crate) const DEPTH: usize = 3;

/// An endpoint of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Member {
    key: Key,
    /// Hash of the endpoint's name, from which its ranks follow.
    seed: u64,
}

/// The highest-ranked endpoints of each bucket.
///
/// The ranks depend on the endpoints' names only, so all hosts agree. A look-up takes constant
/// time; a change of membership visits each bucket once.
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
    /// Adds an endpoint unless it is a member already. `id` is its name.
    pub(crate) fn insert(&mut self, key: Key, id: &str) {
        if self.members.iter().any(|member| member.key == key) {
            return;
        }
        let member = Member { key, seed: fnv(id) };
        self.members.push(member);
        for (index, bucket) in self.buckets.iter_mut().enumerate() {
            insert_ranked(index, bucket, member);
        }
    }

    /// Removes an endpoint and ranks the members anew in the buckets that had it.
    pub(crate) fn remove(&mut self, key: Key) {
        self.members.retain(|member| member.key != key);
        for (index, bucket) in self.buckets.iter_mut().enumerate() {
            if !bucket.iter().flatten().any(|member| member.key == key) {
                continue;
            }
            *bucket = [None; DEPTH];
            for &member in &self.members {
                insert_ranked(index, bucket, member);
            }
        }
    }

    /// Returns up to [`DEPTH`] endpoints for a hash, from the highest rank down.
    pub(crate) fn get(&self, hash: u64) -> impl Iterator<Item = Key> + '_ {
        let index = mix(hash) as usize % BUCKETS;
        self.buckets[index]
            .iter()
            .flatten()
            .map(|member| member.key)
    }
}

/// Inserts a member into a bucket by its rank; the last one drops out of a full bucket.
fn insert_ranked(index: usize, bucket: &mut [Option<Member>; DEPTH], member: Member) {
    let mut low = member;
    for slot in bucket {
        match slot {
            None => {
                *slot = Some(low);
                return;
            }
            Some(kept) if rank(index, low) > rank(index, *kept) => std::mem::swap(kept, &mut low),
            Some(_) => {}
        }
    }
}

/// Returns the rank of a member in a bucket; the seed breaks ties between equal hashes.
fn rank(bucket: usize, member: Member) -> (u64, u64) {
    (mix(member.seed ^ mix(bucket as u64)), member.seed)
}

/// Mixes the bits of a value with one step of SplitMix64.
pub(crate) fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Hashes a text with FNV-1a, which gives the same value on every host.
fn fnv(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

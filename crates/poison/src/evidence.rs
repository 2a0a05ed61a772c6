//! Crashes, put together from the requests that were lost in them, and what they have in common.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::{Loss, PartId, Time};

/// Time within which losses at one address belong to one crash: less than an endpoint takes to start.
const CRASH_SPAN: Duration = Duration::from_millis(1_500);
/// Time within which crashes count as one: a network fault ends connections to many endpoints at once.
const MOMENT: Duration = Duration::from_millis(200);
/// Crashes at different moments after which their common parts are blocked.
const MIN_CRASHES: usize = 3;
/// Time since the first of them. Parts that are often asked for are answered within it, at endpoints
/// that do not crash.
pub const MIN_AGE: Duration = Duration::from_secs(1);
/// Addresses at which they happened; one endpoint may crash by itself again and again.
const MIN_ADDRESSES: usize = 2;
/// Crashes after which all parts are blocked that are in each of them, though in different requests.
const CERTAIN_CRASHES: usize = 5;

/// End of an endpoint, with the prompts that may have caused it.
#[derive(Debug)]
pub(crate) struct Crash {
    endpoint: SocketAddr,
    pub(crate) at: Time,
    /// Parts, of each lost request, that were not answered since.
    requests: Vec<BTreeSet<PartId>>,
}

impl Crash {
    /// Returns whether each part of each lost request was answered since.
    pub(crate) fn is_cleared(&self) -> bool {
        self.requests.iter().all(BTreeSet::is_empty)
    }

    /// Returns whether a loss belongs to this crash.
    pub(crate) fn includes(&self, loss: &Loss) -> bool {
        self.endpoint == loss.endpoint && self.at <= loss.at && loss.at - self.at <= CRASH_SPAN
    }

    /// Returns whether a lost request has all of these parts.
    pub(crate) fn has(&self, parts: &BTreeSet<PartId>) -> bool {
        self.requests
            .iter()
            .any(|request| request.is_superset(parts))
    }
}

/// Puts losses together by address and time. `is_cleared` tells whether a part was answered after a
/// time.
pub(crate) fn crashes<'a>(
    losses: impl Iterator<Item = &'a Loss>,
    is_cleared: impl Fn(PartId, Time) -> bool,
) -> Vec<Crash> {
    let mut losses: Vec<&Loss> = losses.collect();
    losses.sort_unstable_by_key(|loss| (loss.endpoint, loss.at));
    let mut crashes: Vec<Crash> = Vec::new();
    for loss in losses {
        let left = |part: &PartId| !is_cleared(*part, loss.at);
        let request: BTreeSet<PartId> = loss.parts.iter().copied().filter(left).collect();
        match crashes.last_mut() {
            Some(crash) if crash.includes(loss) => crash.requests.push(request),
            _ => crashes.push(Crash {
                endpoint: loss.endpoint,
                at: loss.at,
                requests: vec![request],
            }),
        }
    }
    crashes
}

/// Parts that are in several crashes, and the times of the first and the last of them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Suspect {
    pub(crate) parts: BTreeSet<PartId>,
    pub(crate) first: Time,
    pub(crate) last: Time,
}

impl Suspect {
    fn new(parts: BTreeSet<PartId>, crashes: &[&Crash]) -> Self {
        let times = || crashes.iter().map(|crash| crash.at);
        Self {
            parts,
            first: times().min().unwrap_or_default(),
            last: times().max().unwrap_or_default(),
        }
    }
}

/// Returns what explains the crashes: the parts that are in the most of them, then those in the most
/// of the rest, and so on.
pub(crate) fn causes(now: Time, crashes: &[Crash]) -> Vec<Suspect> {
    let mut causes: Vec<Suspect> = Vec::new();
    let mut rest: Vec<&Crash> = crashes.iter().collect();
    loop {
        let found = suspects(now, &rest);
        if found.is_empty() {
            return causes;
        }
        rest.retain(|crash| !found.iter().any(|cause| crash.has(&cause.parts)));
        causes.extend(found);
    }
}

/// Returns the parts that are in the most crashes, if those are enough. Several suspects that explain
/// equally many crashes are told apart by the next ones, as long as there are few.
fn suspects(now: Time, crashes: &[&Crash]) -> Vec<Suspect> {
    let mut by_part: BTreeMap<PartId, Vec<&Crash>> = BTreeMap::new();
    for crash in crashes.iter().copied() {
        let parts: BTreeSet<PartId> = crash.requests.iter().flatten().copied().collect();
        for part in parts {
            by_part.entry(part).or_default().push(crash);
        }
    }
    by_part.retain(|_, crashes| is_enough(now, crashes));
    let most = by_part.values().map(Vec::len).max().unwrap_or(0);
    let leaders = by_part.iter().filter(|(_, crashes)| crashes.len() == most);
    let all: BTreeSet<Suspect> = leaders
        .map(|(part, crashes)| Suspect::new(companions(*part, crashes), crashes))
        .collect();
    // Of a set of parts and a smaller one the larger is blocked, which refuses fewer requests.
    let is_covered = |suspect: &Suspect| {
        let mut others = all.iter().filter(|other| *other != suspect);
        others.any(|other| other.parts.is_superset(&suspect.parts))
    };
    let suspects: Vec<&Suspect> = all.iter().filter(|suspect| !is_covered(suspect)).collect();
    if suspects.len() > 1 && most < CERTAIN_CRASHES {
        return Vec::new();
    }
    suspects.into_iter().cloned().collect()
}

/// Returns whether crashes are too many, at too many addresses and moments, for a coincidence.
fn is_enough(now: Time, crashes: &[&Crash]) -> bool {
    let addresses: BTreeSet<SocketAddr> = crashes.iter().map(|crash| crash.endpoint).collect();
    let mut times: Vec<Time> = crashes.iter().map(|crash| crash.at).collect();
    times.sort_unstable();
    let age = now.saturating_sub(times.first().copied().unwrap_or(now));
    let mut moments = 0;
    let mut next = Time::ZERO;
    for time in times {
        if time >= next {
            moments += 1;
            next = time + MOMENT;
        }
    }
    addresses.len() >= MIN_ADDRESSES && moments >= MIN_CRASHES && age >= MIN_AGE
}

/// Returns the parts that are in each lost request which has `part`, and itself.
fn companions(part: PartId, crashes: &[&Crash]) -> BTreeSet<PartId> {
    let requests = crashes.iter().flat_map(|crash| &crash.requests);
    let with_part = requests.filter(|request| request.contains(&part));
    let common = with_part.cloned().reduce(|left, right| &left & &right);
    common.unwrap_or_default()
}

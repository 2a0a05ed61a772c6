//! Crashes, put together from the requests that were lost in them, and what they have in common.

use std::collections::{BTreeSet, HashMap};
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
    /// Sorted parts, of each lost request, that were not answered since.
    requests: Vec<Vec<PartId>>,
    /// Whether its cause is known.
    pub(crate) is_explained: bool,
}

impl Crash {
    /// Returns whether each part of each lost request was answered since.
    pub(crate) fn is_cleared(&self) -> bool {
        self.requests.iter().all(Vec::is_empty)
    }

    /// Returns whether a loss belongs to this crash.
    pub(crate) fn includes(&self, loss: &Loss) -> bool {
        self.endpoint == loss.endpoint && self.at <= loss.at && loss.at - self.at <= CRASH_SPAN
    }

    /// Returns whether a lost request has all of these parts.
    pub(crate) fn has(&self, parts: &BTreeSet<PartId>) -> bool {
        let has = |request: &Vec<PartId>| parts.iter().all(|part| holds(request, *part));
        self.requests.iter().any(has)
    }
}

/// Returns whether sorted parts hold one.
fn holds(request: &[PartId], part: PartId) -> bool {
    request.binary_search(&part).is_ok()
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
        let mut request: Vec<PartId> = loss.parts.iter().copied().filter(left).collect();
        request.sort_unstable();
        request.dedup();
        match crashes.last_mut() {
            Some(crash) if crash.includes(loss) => crash.requests.push(request),
            _ => crashes.push(Crash {
                endpoint: loss.endpoint,
                at: loss.at,
                requests: vec![request],
                is_explained: false,
            }),
        }
    }
    crashes
}

/// Returns the crash to which a loss belongs.
pub(crate) fn find<'a>(crashes: &'a [Crash], loss: &Loss) -> Option<&'a Crash> {
    let is_before = |crash: &Crash| (crash.endpoint, crash.at) <= (loss.endpoint, loss.at);
    let end = crashes.partition_point(is_before);
    let crash = crashes[..end].last()?;
    crash.includes(loss).then_some(crash)
}

/// Parts that are in several crashes, and the times of the first and the last of them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Suspect {
    pub(crate) parts: BTreeSet<PartId>,
    pub(crate) first: Time,
    pub(crate) last: Time,
}

/// What crashes have in common.
#[derive(Debug, Default)]
pub(crate) struct Findings {
    /// What explains crashes: the parts that are in the most of them, then those in the most of the rest,
    /// and so on.
    pub(crate) causes: Vec<Suspect>,
    /// When a part that is in enough crashes will have been suspected for long enough; `None` if there
    /// is none.
    pub(crate) ripe_at: Option<Time>,
    /// The last unexplained crash that has a part in common with one at another address and moment.
    pub(crate) last_repeated: Option<Time>,
}

/// A part and the requests that have it, as indices of a crash and of a request in it, ascending.
struct Posting {
    part: PartId,
    requests: Vec<(usize, usize)>,
}

impl Posting {
    /// Returns the crashes that are not explained.
    fn open<'a>(&self, crashes: &'a [Crash]) -> Vec<&'a Crash> {
        let mut indices: Vec<usize> = self.requests.iter().map(|(crash, _)| *crash).collect();
        indices.dedup();
        let open = indices.into_iter().map(|index| &crashes[index]);
        open.filter(|crash| !crash.is_explained).collect()
    }

    /// Returns the parts that are in each lost request of an unexplained crash which has this one, and
    /// itself.
    fn companions(&self, crashes: &[Crash]) -> BTreeSet<PartId> {
        let open = self
            .requests
            .iter()
            .filter(|(crash, _)| !crashes[*crash].is_explained);
        let mut requests = open.map(|(crash, request)| &crashes[*crash].requests[*request]);
        let mut common = requests.next().cloned().unwrap_or_default();
        for request in requests {
            common.retain(|part| holds(request, *part));
        }
        common.into_iter().collect()
    }
}

/// Finds what explains crashes, and marks those that are. At most `max_causes` causes are looked for.
pub(crate) fn explain(now: Time, crashes: &mut [Crash], max_causes: usize) -> Findings {
    let mut findings = Findings::default();
    let mut postings = postings(crashes);
    while findings.causes.len() < max_causes {
        let mut found = suspects(now, crashes, &postings);
        if found.is_empty() {
            break;
        }
        found.truncate(max_causes - findings.causes.len());
        for crash in crashes.iter_mut() {
            crash.is_explained |= found.iter().any(|cause| crash.has(&cause.parts));
        }
        findings.causes.extend(found);
        postings.retain(|posting| posting.open(crashes).len() >= MIN_ADDRESSES);
    }
    for posting in &postings {
        let open = posting.open(crashes);
        let pattern = Pattern::of(&open);
        if pattern.addresses >= MIN_ADDRESSES && pattern.moments >= 2 {
            findings.last_repeated = findings.last_repeated.max(Some(pattern.last));
        }
        if pattern.is_coincidence() || pattern.first + MIN_AGE <= now {
            continue;
        }
        let ripe_at = pattern.first + MIN_AGE;
        let earliest = findings.ripe_at.map_or(ripe_at, |at| at.min(ripe_at));
        findings.ripe_at = Some(earliest);
    }
    findings
}

/// Returns the parts that are in two crashes or more.
fn postings(crashes: &[Crash]) -> Vec<Posting> {
    let mut entries: Vec<(PartId, usize, usize)> = Vec::new();
    for (index, crash) in crashes.iter().enumerate() {
        for (number, request) in crash.requests.iter().enumerate() {
            entries.extend(request.iter().map(|part| (*part, index, number)));
        }
    }
    entries.sort_unstable();
    let groups = entries.chunk_by(|left, right| left.0 == right.0);
    let repeated = groups.filter(|group| group[0].1 != group[group.len() - 1].1);
    repeated
        .map(|group| Posting {
            part: group[0].0,
            requests: group
                .iter()
                .map(|(_, crash, request)| (*crash, *request))
                .collect(),
        })
        .collect()
}

/// Returns the parts that are in the most crashes, if those are enough. Several suspects that explain
/// equally many crashes are told apart by the next ones, as long as there are few.
fn suspects(now: Time, crashes: &[Crash], postings: &[Posting]) -> Vec<Suspect> {
    let mut most = 0;
    let mut leaders: Vec<(&Posting, Pattern)> = Vec::new();
    for posting in postings {
        let open = posting.open(crashes);
        if open.len() < most.max(MIN_CRASHES) {
            continue;
        }
        let pattern = Pattern::of(&open);
        if pattern.is_coincidence() || pattern.first + MIN_AGE > now {
            continue;
        }
        if open.len() > most {
            most = open.len();
            leaders.clear();
        }
        leaders.push((posting, pattern));
    }
    let sets: HashMap<PartId, BTreeSet<PartId>> = leaders
        .iter()
        .map(|(posting, _)| (posting.part, posting.companions(crashes)))
        .collect();
    // Of a set of parts and a smaller one the larger is blocked, which refuses fewer requests. A part
    // that is in the set of another one has a part of that set, or all of it, as its own.
    let covered: BTreeSet<PartId> = sets
        .values()
        .flat_map(|set| set.iter().map(move |part| (part, set.len())))
        .filter(|(part, size)| sets.get(part).is_some_and(|own| own.len() < *size))
        .map(|(part, _)| *part)
        .collect();
    let suspects: BTreeSet<Suspect> = leaders
        .iter()
        .filter(|(posting, _)| !covered.contains(&posting.part))
        .map(|(posting, pattern)| Suspect {
            parts: sets[&posting.part].clone(),
            first: pattern.first,
            last: pattern.last,
        })
        .collect();
    if suspects.len() > 1 && most < CERTAIN_CRASHES {
        return Vec::new();
    }
    suspects.into_iter().collect()
}

/// How crashes are spread over addresses and time.
#[derive(Clone, Copy, Debug)]
struct Pattern {
    addresses: usize,
    /// Moments at which there were crashes.
    moments: usize,
    first: Time,
    last: Time,
}

impl Pattern {
    /// Returns the pattern of crashes in the order of their addresses.
    fn of(crashes: &[&Crash]) -> Self {
        let other_address = |pair: &&[&Crash]| pair[0].endpoint != pair[1].endpoint;
        let mut times: Vec<Time> = crashes.iter().map(|crash| crash.at).collect();
        times.sort_unstable();
        let mut moments = 0;
        let mut next = Time::ZERO;
        for time in &times {
            if *time >= next {
                moments += 1;
                next = *time + MOMENT;
            }
        }
        Self {
            addresses: crashes.windows(2).filter(other_address).count() + crashes.len().min(1),
            moments,
            first: times.first().copied().unwrap_or_default(),
            last: times.last().copied().unwrap_or_default(),
        }
    }

    /// Returns whether the crashes are at too few addresses or moments to have a common cause.
    fn is_coincidence(&self) -> bool {
        self.addresses < MIN_ADDRESSES || self.moments < MIN_CRASHES
    }
}

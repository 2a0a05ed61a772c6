//! Parts of lost requests, and what is known of answers to them.

use std::collections::{BTreeMap, HashMap};

use crate::{Loss, PartId, Time};

/// Losses of a part that may have caused a crash: with fewer there is nothing to clear it of.
const MIN_LOSSES: usize = 2;

/// A part of a lost request. Times are zero for never.
#[derive(Clone, Copy, Debug, Default)]
struct Suspect {
    /// Known losses with the part.
    losses: usize,
    /// The last of them.
    latest: Time,
    /// Last answer that this host has seen.
    answered: Time,
    /// Last answer that another host has reported.
    heard: Time,
    /// Answer that this host has reported.
    told: Time,
}

impl Suspect {
    /// Returns the answer that other hosts should know of. It stays the same until there is a loss after
    /// it, so that reports do not change with each answer, and is left to the host that was first.
    fn news(&self) -> Option<Time> {
        if self.told <= self.latest && self.answered > self.latest && self.heard <= self.latest {
            return Some(self.answered);
        }
        (self.told > Time::ZERO).then_some(self.told)
    }
}

/// Parts of the known losses.
#[derive(Debug, Default)]
pub(crate) struct Suspects(HashMap<PartId, Suspect>);

impl Suspects {
    /// Adds the parts of a loss. `answered` returns the last answer to a part.
    pub(crate) fn insert(&mut self, loss: &Loss, answered: impl Fn(PartId) -> Option<Answer>) {
        for part in &loss.parts {
            let suspect = self.0.entry(*part).or_insert_with(|| {
                let mut suspect = Suspect::default();
                match answered(*part) {
                    Some(Answer { at, is_own: true }) => suspect.answered = at,
                    Some(Answer { at, .. }) => suspect.heard = at,
                    None => {}
                }
                suspect
            });
            suspect.losses += 1;
            suspect.latest = suspect.latest.max(loss.at);
        }
    }

    /// Removes the parts of a loss.
    pub(crate) fn remove(&mut self, loss: &Loss) {
        for part in &loss.parts {
            if let Some(suspect) = self.0.get_mut(part) {
                suspect.losses -= 1;
                if suspect.losses == 0 {
                    self.0.remove(part);
                }
            }
        }
    }

    /// Records an answer at this host. Returns whether it clears the part of a loss.
    pub(crate) fn answer(&mut self, part: PartId, at: Time) -> bool {
        let Some(suspect) = self.0.get_mut(&part) else {
            return false;
        };
        let is_first = suspect.answered.max(suspect.heard) <= suspect.latest;
        suspect.answered = suspect.answered.max(at);
        is_first
    }

    /// Records an answer at another host. Returns whether it clears the part of a loss.
    pub(crate) fn hear(&mut self, part: PartId, at: Time) -> bool {
        let Some(suspect) = self.0.get_mut(&part) else {
            return false;
        };
        let is_first = suspect.answered.max(suspect.heard) <= suspect.latest;
        suspect.heard = suspect.heard.max(at);
        is_first
    }

    /// Records that an answer was reported.
    pub(crate) fn tell(&mut self, part: PartId, at: Time) {
        if let Some(suspect) = self.0.get_mut(&part) {
            suspect.told = suspect.told.max(at);
        }
    }

    /// Returns the parts that were answered at this host, with the times of the answers: those in the most
    /// losses first, after those in `contested`.
    pub(crate) fn news(
        &self,
        contested: &BTreeMap<PartId, Contest>,
        count: usize,
    ) -> Vec<(PartId, Time)> {
        let suspected = self.0.iter().filter_map(|(part, suspect)| {
            let is_repeated = suspect.losses >= MIN_LOSSES && !contested.contains_key(part);
            let answer = suspect.news().filter(|_| is_repeated)?;
            Some((suspect.losses, *part, answer))
        });
        let mut suspected: Vec<(usize, PartId, Time)> = suspected.collect();
        suspected.sort_unstable_by_key(|(losses, part, _)| (std::cmp::Reverse(*losses), *part));
        let contested = contested
            .iter()
            .map(|(part, contest)| (*part, contest.answered));
        let suspected = suspected.into_iter().map(|(_, part, at)| (part, at));
        contested.chain(suspected).take(count).collect()
    }
}

/// Last answer to a part.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Answer {
    pub(crate) at: Time,
    /// Whether this host has seen it; otherwise another one has reported it.
    pub(crate) is_own: bool,
}

/// Answer to a part that another host refuses.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Contest {
    /// When the refusal was last reported.
    pub(crate) at: Time,
    /// The answer, after the first crash in evidence for the refusal.
    pub(crate) answered: Time,
}

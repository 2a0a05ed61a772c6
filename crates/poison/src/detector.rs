//! Collects losses and answers, and decides which requests are refused.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use crate::evidence::{self, Crash, Suspect};
use crate::report::{self, Report};
use crate::{Block, Loss, PartId, Time};

/// Limits of a [`Detector`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// How long a loss is evidence.
    pub memory: Duration,
    /// Time after a crash within which all hosts have heard of it.
    pub settle_time: Duration,
    /// How long requests are refused after the last crash in evidence.
    pub hold: Duration,
    /// Longest hold; each crash that follows a hold doubles it.
    pub max_hold: Duration,
    /// Losses of this host that are kept and reported.
    pub max_own_losses: usize,
    /// Losses of other hosts that are kept.
    pub max_losses: usize,
    /// Blocks that are kept.
    pub max_blocks: usize,
    /// Parts of one prompt that are looked at: the first ones, and the last.
    pub max_parts: usize,
    /// Parts that one host reports as answered.
    pub max_sound: usize,
    /// Parts whose last answer is remembered.
    pub max_answered: usize,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            memory: Duration::from_secs(60),
            settle_time: Duration::from_secs(5),
            hold: Duration::from_secs(120),
            max_hold: Duration::from_secs(4 * 3600),
            max_own_losses: 12,
            max_losses: 512,
            max_blocks: 32,
            max_parts: 16,
            max_sound: 12,
            max_answered: 4096,
        }
    }
}

/// Change of what is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Requests with all of these parts are refused from now on.
    Blocked(Block),
    /// They no longer are: a part was answered, or the hold has ended.
    Lifted(Block),
}

/// Evidence of all hosts and what follows from it.
#[derive(Debug, Default)]
pub struct Detector {
    tuning: Tuning,
    /// Losses of this host, oldest first.
    own: VecDeque<Loss>,
    /// Losses of other hosts.
    others: BTreeSet<Loss>,
    /// Last answer to each part.
    answered: HashMap<PartId, Time>,
    blocks: Vec<Block>,
    /// Parts in blocks of other hosts that were answered since, with the time of the report.
    contested: BTreeMap<PartId, Time>,
    /// What explains the crashes in evidence.
    causes: Vec<Suspect>,
    /// Those crashes, and whether it does.
    explained: Vec<(Time, bool)>,
    /// Whether there is evidence that was not looked at yet.
    is_outdated: bool,
    /// Number of changes by what other hosts have said.
    revision: u64,
}

impl Detector {
    /// Creates a detector without evidence.
    #[must_use]
    pub fn new(tuning: Tuning) -> Self {
        Self {
            tuning,
            ..Self::default()
        }
    }

    /// Records a request that this host lost when its endpoint crashed.
    pub fn lose(&mut self, now: Time, mut loss: Loss) -> Vec<Verdict> {
        self.limit_parts(&mut loss.parts);
        self.is_outdated = true;
        self.own.push_back(loss);
        while self.own.len() > self.tuning.max_own_losses {
            self.own.pop_front();
        }
        self.decide(now)
    }

    /// Records that the answer to a request with these parts was well on its way or complete.
    pub fn answer(&mut self, now: Time, parts: impl IntoIterator<Item = PartId>) -> Vec<Verdict> {
        let mut is_suspect = false;
        for part in parts {
            self.answered.insert(part, now);
            is_suspect |= self.blocks.iter().any(|block| block.parts.contains(&part));
        }
        if self.answered.len() > self.tuning.max_answered {
            self.forget_answers();
        }
        match is_suspect {
            true => self.decide(now),
            false => Vec::new(),
        }
    }

    /// Removes the older half of the answers.
    fn forget_answers(&mut self) {
        let mut times: Vec<Time> = self.answered.values().copied().collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.answered.retain(|_, at| *at > median);
    }

    /// Takes over the evidence and decisions of other hosts. Times in the future are as good as now.
    pub fn learn(&mut self, now: Time, reports: impl IntoIterator<Item = Report>) -> Vec<Verdict> {
        let mut told: Vec<Block> = Vec::new();
        for report in reports {
            for loss in report.losses {
                let mut loss = Loss::from(loss);
                loss.at = loss.at.min(now);
                self.limit_parts(&mut loss.parts);
                let is_recent = loss.at + self.tuning.memory >= now;
                if is_recent && self.others.insert(loss) {
                    self.revision += 1;
                    self.is_outdated = true;
                }
            }
            for (part, at) in report.sound.into_iter().take(self.tuning.max_sound) {
                let at = Duration::from_millis(at).min(now);
                if self.answered.get(&part).is_none_or(|known| *known < at) {
                    self.answered.insert(part, at);
                    self.is_outdated = true;
                }
            }
            let blocks = report.blocks.into_iter().take(self.tuning.max_blocks);
            told.extend(blocks.map(Block::from));
        }
        while self.others.len() > self.tuning.max_losses {
            self.others.pop_first();
        }
        if self.answered.len() > self.tuning.max_answered {
            self.forget_answers();
        }
        let before = self.revision;
        let mut verdicts = self.decide(now);
        for mut block in told {
            block.last = block.last.min(now);
            block.since = block.since.min(block.last);
            block.hold = block.hold.min(self.tuning.max_hold);
            while block.parts.len() > self.tuning.max_parts {
                block.parts.pop_last();
            }
            self.contest(now, &block);
            self.clear(&mut block);
            if !self.is_superseded(&block) {
                verdicts.extend(self.adopt(now, block));
            }
        }
        if before == self.revision {
            self.revision += verdicts.len() as u64;
        }
        verdicts
    }

    /// Keeps the first parts and the last one.
    fn limit_parts(&self, parts: &mut Vec<PartId>) {
        let surplus = parts.len().saturating_sub(self.tuning.max_parts);
        let end = parts.len().saturating_sub(1);
        parts.drain(end - surplus..end);
    }

    /// Records the parts of a block that were answered since its first crash, to tell other hosts.
    fn contest(&mut self, now: Time, block: &Block) {
        for part in &block.parts {
            if self.is_cleared(*part, block.since) && self.contested.insert(*part, now).is_none() {
                self.revision += 1;
            }
        }
        while self.contested.len() > self.tuning.max_sound {
            self.contested.pop_first();
        }
    }

    /// Removes the parts of a block that were answered since its first crash.
    fn clear(&self, block: &mut Block) {
        let since = block.since;
        block.parts.retain(|part| !self.is_cleared(*part, since));
    }

    fn is_cleared(&self, part: PartId, since: Time) -> bool {
        self.answered.get(&part).is_some_and(|at| *at > since)
    }

    /// Adds a block, unless one with fewer parts already refuses the same requests.
    fn adopt(&mut self, now: Time, block: Block) -> Option<Verdict> {
        let is_over = now >= block.until() + block.hold;
        if block.parts.is_empty() || is_over {
            return None;
        }
        if let Some(same) = self
            .blocks
            .iter_mut()
            .find(|known| known.parts == block.parts)
        {
            let was_over = now >= same.until();
            same.last = same.last.max(block.last);
            same.hold = same.hold.max(block.hold);
            return (was_over && now < same.until()).then(|| Verdict::Blocked(same.clone()));
        }
        let is_implied = |known: &Block| known.parts.is_subset(&block.parts);
        if self.blocks.iter().any(is_implied) {
            return None;
        }
        self.blocks
            .retain(|known| !block.parts.is_subset(&known.parts));
        if self.blocks.len() >= self.tuning.max_blocks {
            return None;
        }
        self.blocks.push(block.clone());
        (now < block.until()).then_some(Verdict::Blocked(block))
    }

    /// Brings the blocks up to date with the evidence.
    fn decide(&mut self, now: Time) -> Vec<Verdict> {
        let mut verdicts = self.expire(now);
        if !self.is_outdated {
            return verdicts;
        }
        let crashes = self.crashes();
        // Crashes become evidence with time.
        let is_new = |crash: &Crash| now < crash.at + evidence::MIN_AGE * 2;
        self.is_outdated = crashes.iter().any(is_new);
        verdicts.extend(self.extend_blocks(now, &crashes));
        self.causes = evidence::causes(now, &crashes);
        self.explained = crashes
            .iter()
            .map(|crash| {
                let is_explained = self.causes.iter().any(|cause| crash.has(&cause.parts));
                (crash.at, is_explained)
            })
            .collect();
        for block in std::mem::take(&mut self.blocks) {
            if self.is_superseded(&block) {
                verdicts.push(Verdict::Lifted(block));
            } else {
                self.blocks.push(block);
            }
        }
        for cause in self.causes.clone() {
            let block = Block {
                parts: cause.parts,
                since: cause.first,
                last: cause.last,
                hold: self.tuning.hold,
            };
            verdicts.extend(self.adopt(now, block));
        }
        verdicts
    }

    /// Returns whether the crashes in a block's evidence are known, and other parts explain all of
    /// them: it was decided before all hosts had told what they lost.
    fn is_superseded(&self, block: &Block) -> bool {
        if self.causes.iter().any(|cause| cause.parts == block.parts) {
            return false;
        }
        let mut known = self
            .explained
            .iter()
            .filter(|(at, _)| (block.since..=block.last).contains(at))
            .peekable();
        known.peek().is_some() && known.all(|(_, is_explained)| *is_explained)
    }

    /// Removes evidence that is too old, and blocks that are cleared or long over.
    fn expire(&mut self, now: Time) -> Vec<Verdict> {
        let oldest = now.saturating_sub(self.tuning.memory);
        self.own.retain(|loss| loss.at >= oldest);
        self.others.retain(|loss| loss.at >= oldest);
        self.contested.retain(|_, at| *at >= oldest);
        let mut verdicts = Vec::new();
        for mut block in std::mem::take(&mut self.blocks) {
            let before = block.clone();
            self.clear(&mut block);
            let is_over = now >= block.until() + block.hold;
            if block.parts.is_empty() || is_over {
                self.is_outdated = true;
                verdicts.push(Verdict::Lifted(before));
            } else {
                if block.parts != before.parts {
                    self.is_outdated = true;
                    verdicts.push(Verdict::Blocked(block.clone()));
                }
                self.blocks.push(block);
            }
        }
        verdicts
    }

    fn crashes(&self) -> Vec<Crash> {
        let losses = self.own.iter().chain(&self.others);
        evidence::crashes(losses, |part, since| self.is_cleared(part, since))
    }

    /// Extends blocks by the crashes that they explain. One after the end of the hold begins another
    /// hold, twice as long: the parts have not changed.
    fn extend_blocks(&mut self, now: Time, crashes: &[Crash]) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        for block in &mut self.blocks {
            let explained = crashes.iter().filter(|crash| crash.has(&block.parts));
            let Some(last) = explained.map(|crash| crash.at).max() else {
                continue;
            };
            if last >= block.until() {
                block.hold = (block.hold * 2).min(self.tuning.max_hold);
                block.last = last;
                verdicts.push(Verdict::Blocked(block.clone()));
            }
            block.last = block.last.max(last).min(now);
        }
        verdicts
    }

    /// Returns the number of changes by what other hosts have said, which tells whether there was news.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns whether there are crashes that no block explains, and parts that may have caused them.
    #[must_use]
    pub fn has_unexplained(&self) -> bool {
        let crashes = self.crashes();
        let is_explained = |crash: &Crash| self.blocks.iter().any(|block| crash.has(&block.parts));
        let mut open = crashes.iter().filter(|crash| !crash.is_cleared());
        open.any(|crash| !is_explained(crash))
    }

    /// Returns how long a request with these parts is refused; `None` if it may be sent.
    #[must_use]
    pub fn blocked(&self, now: Time, parts: &[PartId]) -> Option<Duration> {
        let blocks = self.blocks.iter().filter(|block| now < block.until());
        let matching = blocks.filter(|block| block.matches(parts));
        matching.map(|block| block.until() - now).max()
    }

    /// Returns the number of blocks in force.
    #[must_use]
    pub fn block_count(&self, now: Time) -> usize {
        let active = self.blocks.iter().filter(|block| now < block.until());
        active.count()
    }

    /// Returns what other hosts need to know. Losses that a block explains say nothing new, once all
    /// hosts have told what they lost in the same crash.
    #[must_use]
    pub fn report(&self, now: Time) -> Report {
        let oldest = now.saturating_sub(self.tuning.memory);
        let mut explained = self.crashes();
        explained.retain(|crash| self.blocks.iter().any(|block| crash.has(&block.parts)));
        let is_news = |loss: &Loss| {
            let is_settled = loss.at + self.tuning.settle_time <= now;
            !is_settled || !explained.iter().any(|crash| crash.includes(loss))
        };
        let recent = self.own.iter().filter(|loss| loss.at >= oldest);
        let losses = recent.filter(|loss| is_news(loss)).filter_map(|loss| {
            let mut loss = loss.clone();
            let at = loss.at;
            loss.parts.retain(|part| !self.is_cleared(*part, at));
            (!loss.parts.is_empty()).then(|| report::Loss::from(&loss))
        });
        Report {
            losses: losses.collect(),
            blocks: self.blocks.iter().map(report::Block::from).collect(),
            sound: self.sound(),
        }
    }

    /// Returns the parts that other hosts suspect and that were answered since: those that they block
    /// first, then those in the most losses.
    fn sound(&self) -> Vec<(PartId, u64)> {
        let contested = self.contested.keys();
        let contested = contested.filter(|part| self.answered.contains_key(part));
        let mut counts: BTreeMap<PartId, usize> =
            contested.map(|part| (*part, usize::MAX / 2)).collect();
        for loss in self.own.iter().chain(&self.others) {
            let parts = loss.parts.iter();
            for part in parts.filter(|part| self.is_cleared(**part, loss.at)) {
                *counts.entry(*part).or_default() += 1;
            }
        }
        let mut parts: Vec<(PartId, usize)> = counts.into_iter().collect();
        parts.sort_by_key(|(_, losses)| std::cmp::Reverse(*losses));
        parts.truncate(self.tuning.max_sound);
        let parts = parts.into_iter().map(|(part, _)| part);
        parts
            .map(|part| (part, report::millis(self.answered[&part])))
            .collect()
    }
}

//! Collects losses and answers, and decides which requests are refused.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use crate::evidence::{self, Crash, Suspect};
use crate::pace::Pace;
use crate::report::{self, Report};
use crate::suspects::{Answer, Contest, Suspects};
use crate::{Block, Loss, PartId, Time};

/// Evaluations of all evidence that may follow one another at once: a prompt that crashes endpoints is
/// refused with the third crash, and a few losses of each are told one by one.
const EVALUATION_BURST: u32 = 8;
/// Interval of the further ones. Evidence that was left out waits for the next call after it, which is at the
/// latest that of the next heartbeat.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(250);
/// Losses and answers that a host reports, however many hosts share what all keep: a crash that a part
/// causes again needs one of each.
const MIN_REPORTED: usize = 2;

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

/// Work that a [`Detector`] has done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Evaluations of all evidence.
    pub evaluations: u64,
    /// Calls that left new evidence to a later evaluation.
    pub deferrals: u64,
    /// Losses that other hosts have reported.
    pub learned: u64,
}

/// Evidence of all hosts and what follows from it.
#[derive(Debug)]
pub struct Detector {
    tuning: Tuning,
    /// Number of hosts, which share the losses that each of them keeps.
    hosts: usize,
    /// Losses of this host, oldest first.
    own: VecDeque<Loss>,
    /// Losses of other hosts.
    others: BTreeSet<Loss>,
    /// Parts of all losses.
    suspects: Suspects,
    /// Last answer to each part.
    answered: HashMap<PartId, Answer>,
    blocks: Vec<Block>,
    /// Parts in blocks of other hosts that were answered since.
    contested: BTreeMap<PartId, Contest>,
    /// What explains the crashes in evidence.
    causes: Vec<Suspect>,
    /// Those crashes, at the last evaluation.
    crashes: Vec<Crash>,
    /// Whether there is evidence that was not looked at yet.
    is_outdated: bool,
    /// When the evidence says more than now, by its age.
    ripe_at: Option<Time>,
    /// Until when further crashes may soon tell what causes them.
    suspicious_until: Time,
    /// Limits the evaluations.
    pace: Pace,
    /// Number of changes by what other hosts have said.
    revision: u64,
    /// Number of changes that other hosts should learn at once.
    news: u64,
    work: Work,
}

impl Default for Detector {
    fn default() -> Self {
        Self::new(Tuning::default())
    }
}

impl Detector {
    /// Creates a detector without evidence.
    #[must_use]
    pub fn new(tuning: Tuning) -> Self {
        Self {
            tuning,
            hosts: 1,
            own: VecDeque::new(),
            others: BTreeSet::new(),
            suspects: Suspects::default(),
            answered: HashMap::new(),
            blocks: Vec::new(),
            contested: BTreeMap::new(),
            causes: Vec::new(),
            crashes: Vec::new(),
            is_outdated: false,
            ripe_at: None,
            suspicious_until: Time::ZERO,
            pace: Pace::new(EVALUATION_BURST, EVALUATION_INTERVAL),
            revision: 0,
            news: 0,
            work: Work::default(),
        }
    }

    /// Sets the number of hosts, among which the losses that each of them keeps are shared out.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.hosts = hosts.max(1);
    }

    /// Records a request that this host lost when its endpoint crashed.
    pub fn lose(&mut self, now: Time, mut loss: Loss) -> Vec<Verdict> {
        self.limit_parts(&mut loss.parts);
        self.suspect(&loss);
        self.own.push_back(loss);
        while self.own.len() > self.tuning.max_own_losses {
            if let Some(loss) = self.own.pop_front() {
                self.suspects.remove(&loss);
            }
        }
        self.news += 1;
        self.decide(now)
    }

    /// Records that the answer to a request with these parts was well on its way or complete.
    pub fn answer(&mut self, now: Time, parts: impl IntoIterator<Item = PartId>) -> Vec<Verdict> {
        let mut is_suspect = false;
        for part in parts {
            let answer = Answer {
                at: now,
                is_own: true,
            };
            self.answered.insert(part, answer);
            self.is_outdated |= self.suspects.answer(part, now);
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
        let mut times: Vec<Time> = self.answered.values().map(|answer| answer.at).collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.answered.retain(|_, answer| answer.at > median);
    }

    /// Takes over the evidence and decisions of other hosts. Times in the future are as good as now.
    pub fn learn(&mut self, now: Time, reports: impl IntoIterator<Item = Report>) -> Vec<Verdict> {
        let mut told: Vec<Block> = Vec::new();
        for report in reports {
            for loss in report.losses.into_iter().take(self.tuning.max_own_losses) {
                let mut loss = Loss::from(loss);
                loss.at = loss.at.min(now);
                self.limit_parts(&mut loss.parts);
                let is_recent = loss.at + self.tuning.memory >= now;
                if is_recent && self.others.insert(loss.clone()) {
                    self.suspect(&loss);
                    self.revision += 1;
                    self.work.learned += 1;
                }
            }
            for (part, at) in report.sound.into_iter().take(self.tuning.max_sound) {
                let at = Duration::from_millis(at).min(now);
                if self.answered.get(&part).is_none_or(|known| known.at < at) {
                    let is_own = false;
                    self.answered.insert(part, Answer { at, is_own });
                }
                self.is_outdated |= self.suspects.hear(part, at);
            }
            let blocks = report.blocks.into_iter().take(self.tuning.max_blocks);
            told.extend(blocks.map(Block::from));
        }
        while self.others.len() > self.tuning.max_losses {
            if let Some(loss) = self.others.pop_first() {
                self.suspects.remove(&loss);
            }
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

    /// Adds the parts of a loss to those under suspicion.
    fn suspect(&mut self, loss: &Loss) {
        let answered = &self.answered;
        self.suspects
            .insert(loss, |part| answered.get(&part).copied());
        self.suspicious_until = self.suspicious_until.max(loss.at + self.tuning.settle_time);
        self.is_outdated = true;
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
            let answer = self.answered.get(part).map(|answer| answer.at);
            let Some(answered) = answer.filter(|at| *at > block.since) else {
                continue;
            };
            let known = self.contested.get(part).copied();
            // The time that was reported stays while it answers the block.
            let known = known.filter(|contest| contest.answered > block.since);
            if known.is_none() {
                self.revision += 1;
                self.news += 1;
            }
            let answered = known.map_or(answered, |contest| contest.answered);
            self.contested.insert(*part, Contest { at: now, answered });
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
        self.answered
            .get(&part)
            .is_some_and(|answer| answer.at > since)
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

    /// Brings the blocks up to date with the evidence. With too much new evidence at once that is left to a
    /// later call, but for blocks that answers clear.
    fn decide(&mut self, now: Time) -> Vec<Verdict> {
        let mut verdicts = self.expire(now);
        let is_due = self.is_outdated || self.ripe_at.is_some_and(|at| at <= now);
        if is_due && self.pace.try_take(now) {
            self.evaluate(now, &mut verdicts);
        } else if is_due {
            self.work.deferrals += 1;
        }
        self.news += verdicts.len() as u64;
        verdicts
    }

    /// Looks at all evidence.
    fn evaluate(&mut self, now: Time, verdicts: &mut Vec<Verdict>) {
        self.work.evaluations += 1;
        let losses = self.own.iter().chain(&self.others);
        let mut crashes = evidence::crashes(losses, |part, since| self.is_cleared(part, since));
        verdicts.extend(self.extend_blocks(now, &crashes));
        let findings = evidence::explain(now, &mut crashes, self.tuning.max_blocks);
        self.is_outdated = false;
        self.ripe_at = findings.ripe_at;
        self.causes = findings.causes;
        self.crashes = crashes;
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
        let open = self
            .crashes
            .iter()
            .filter(|crash| !crash.is_cleared() && !self.is_blocked(crash));
        let last = open.map(|crash| crash.at).max();
        let settled = last.map(|at| at + self.tuning.settle_time);
        let repeated = findings.last_repeated.map(|at| at + self.tuning.memory);
        self.suspicious_until = settled.max(repeated).unwrap_or_default();
    }

    /// Returns whether a block explains a crash.
    fn is_blocked(&self, crash: &Crash) -> bool {
        self.blocks.iter().any(|block| crash.has(&block.parts))
    }

    /// Returns whether the crashes in a block's evidence are known, and other parts explain all of
    /// them: it was decided before all hosts had told what they lost.
    fn is_superseded(&self, block: &Block) -> bool {
        if self.causes.iter().any(|cause| cause.parts == block.parts) {
            return false;
        }
        let mut known = self
            .crashes
            .iter()
            .filter(|crash| (block.since..=block.last).contains(&crash.at))
            .peekable();
        known.peek().is_some() && known.all(|crash| crash.is_explained)
    }

    /// Removes evidence that is too old, and blocks that are cleared or long over.
    fn expire(&mut self, now: Time) -> Vec<Verdict> {
        let oldest = now.saturating_sub(self.tuning.memory);
        let suspects = &mut self.suspects;
        let mut is_old = |loss: &Loss| {
            let is_old = loss.at < oldest;
            if is_old {
                suspects.remove(loss);
            }
            is_old
        };
        self.own.retain(|loss| !is_old(loss));
        while self.others.first().is_some_and(&mut is_old) {
            self.others.pop_first();
        }
        self.contested.retain(|_, contest| contest.at >= oldest);
        let mut verdicts = Vec::new();
        for mut block in std::mem::take(&mut self.blocks) {
            let is_cleared = |part: &PartId| self.is_cleared(*part, block.since);
            let is_over = now >= block.until() + block.hold;
            if !is_over && !block.parts.iter().any(is_cleared) {
                self.blocks.push(block);
                continue;
            }
            self.is_outdated = true;
            let before = block.clone();
            self.clear(&mut block);
            if is_over || block.parts.is_empty() {
                verdicts.push(Verdict::Lifted(before));
            } else {
                verdicts.push(Verdict::Blocked(block.clone()));
                self.blocks.push(block);
            }
        }
        verdicts
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

    /// Returns the number of changes that other hosts should learn before the next regular report.
    #[must_use]
    pub fn news(&self) -> u64 {
        self.news
    }

    /// Returns the work done since the start.
    #[must_use]
    pub fn work(&self) -> Work {
        self.work
    }

    /// Returns whether further crashes may soon tell what causes them: a recent one is unexplained, or
    /// several have a part in common.
    #[must_use]
    pub fn is_suspicious(&self, now: Time) -> bool {
        now < self.suspicious_until
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
    /// hosts have told what they lost in the same crash. Of more than this host's share of what others
    /// keep, the newest are told.
    #[must_use]
    pub fn report(&self, now: Time) -> Report {
        let oldest = now.saturating_sub(self.tuning.memory);
        let is_news = |loss: &Loss| {
            let is_settled = loss.at + self.tuning.settle_time <= now;
            let crash = || evidence::find(&self.crashes, loss);
            !is_settled || !crash().is_some_and(|crash| self.is_blocked(crash))
        };
        let recent = self.own.iter().rev().filter(|loss| loss.at >= oldest);
        let losses = recent.filter(|loss| is_news(loss)).filter_map(|loss| {
            let mut loss = loss.clone();
            let at = loss.at;
            loss.parts.retain(|part| !self.is_cleared(*part, at));
            (!loss.parts.is_empty()).then(|| report::Loss::from(&loss))
        });
        let share = (self.tuning.max_losses / self.hosts).max(MIN_REPORTED);
        let mut losses: Vec<report::Loss> = losses.take(share).collect();
        losses.reverse();
        let count = self.tuning.max_sound.min(share);
        let sound = self.suspects.news(&self.contested, count);
        let sound = sound.into_iter();
        Report {
            losses,
            blocks: self.blocks.iter().map(report::Block::from).collect(),
            sound: sound.map(|(part, at)| (part, report::millis(at))).collect(),
        }
    }

    /// Looks at evidence that was left for later, and returns what is to be published now.
    pub fn publish(&mut self, now: Time) -> (Report, Vec<Verdict>) {
        let verdicts = self.decide(now);
        let report = self.report(now);
        for (part, at) in &report.sound {
            self.suspects.tell(*part, Duration::from_millis(*at));
        }
        (report, verdicts)
    }
}

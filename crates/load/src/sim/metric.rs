//! Figures of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use agate_model::refusal::Reason;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::experiment::Policy;

/// Intervals that are judged together for [`Outcome::recovery_s`].
const CALM_BUCKETS: usize = 3;
/// Attainment of the whole service that counts as recovered.
const RECOVERED: f64 = 0.95;
/// Longest time to the first token that is told apart, in microseconds.
const MAX_MICROS: u64 = 3_600_000_000;

/// Counts of requests by what became of them.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counts {
    /// Arrived.
    pub offered: u64,
    /// Answered within all targets.
    pub attained: u64,
    /// Answered, but outside of a target.
    pub late: u64,
    /// Refused and not run.
    pub refused: u64,
    /// Run without a whole answer.
    pub failed: u64,
    /// Prompt and answer tokens of attained requests.
    pub attained_tokens: u64,
    /// Prompt and answer tokens of offered requests.
    pub offered_tokens: u64,
}

impl Counts {
    /// Share of the offered requests that met all targets.
    pub fn attainment(&self) -> f64 {
        ratio(self.attained as f64, self.offered as f64)
    }
}

/// Figures of a class.
#[derive(Clone, Debug, Serialize)]
pub struct Class {
    /// Name.
    pub id: String,
    /// Priority.
    pub tier: u8,
    /// Counts.
    pub counts: Counts,
    /// Median time to the first token of answered requests, in milliseconds.
    pub first_token_p50_ms: f64,
    /// 99th percentile of the same.
    pub first_token_p99_ms: f64,
    /// Attained requests by interval of arrival.
    pub attained: Vec<u64>,
    /// Offered requests by interval of arrival.
    pub offered: Vec<u64>,
}

/// Figures of one account in one class.
#[derive(Clone, Debug, Serialize)]
pub struct Account {
    /// Class.
    pub class: String,
    /// Account.
    pub account: String,
    /// Counts.
    pub counts: Counts,
    /// Attained tokens as a share of what the account is due: what it offered, or its
    /// fair share of what the class attained if that is less.
    pub served: f64,
}

/// Figures of one policy in one experiment.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Policy.
    pub policy: &'static str,
    /// Classes by tier.
    pub classes: Vec<Class>,
    /// Accounts by class.
    pub accounts: Vec<Account>,
    /// Answer tokens of attained requests per second.
    pub goodput: f64,
    /// Share of the generated tokens that did not serve an attained request.
    pub wasted: f64,
    /// Smallest [`Account::served`].
    pub worst_account: f64,
    /// Price of the endpoints per hour.
    pub spend: f64,
    /// Price of the endpoints for a thousand attained requests.
    pub spend_per_thousand: f64,
    /// Share of the answer tokens of attained requests that came from reclaimable endpoints.
    pub cheaper: f64,
    /// Refusals by reason.
    pub refusals: BTreeMap<&'static str, u64>,
    /// Retries sent.
    pub retries: u64,
    /// Hedges sent.
    pub hedges: u64,
    /// Requests answered by an endpoint that was preferred for its cache.
    pub cached: u64,
    /// Time after the last burst or begin of a fault until the whole service attains
    /// 95% over half a minute; `None` if never.
    pub recovery_s: Option<u64>,
}

/// What became of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum End {
    Refused(Reason),
    Failed(Reason),
    Answered {
        attained: bool,
        first_token: Duration,
        cheap: bool,
    },
}

struct ClassMeter {
    id: String,
    tier: u8,
    counts: Counts,
    first_token: Histogram<u64>,
    attained: Vec<u64>,
    offered: Vec<u64>,
}

/// Gathers the figures of a run.
pub(crate) struct Meter {
    classes: Vec<ClassMeter>,
    accounts: BTreeMap<(usize, String), Counts>,
    pub(crate) generated: u64,
    attained_answer: u64,
    cheap_answer: u64,
    pub(crate) cost: f64,
    refusals: BTreeMap<&'static str, u64>,
    pub(crate) retries: u64,
    pub(crate) hedges: u64,
    pub(crate) cached: u64,
}

/// A request as the meter counts it.
pub(crate) struct Counted<'a> {
    pub(crate) class: usize,
    pub(crate) account: &'a str,
    pub(crate) prompt: u32,
    pub(crate) answer: u32,
    pub(crate) bucket: usize,
}

impl Meter {
    pub(crate) fn new(classes: &[(String, u8)], buckets: usize) -> Self {
        let meter = |(id, tier): &(String, u8)| ClassMeter {
            id: id.clone(),
            tier: *tier,
            counts: Counts::default(),
            first_token: Histogram::new_with_bounds(1, MAX_MICROS, 3)
                .expect("the bounds are valid"),
            attained: vec![0; buckets],
            offered: vec![0; buckets],
        };
        Self {
            classes: classes.iter().map(meter).collect(),
            accounts: BTreeMap::new(),
            generated: 0,
            attained_answer: 0,
            cheap_answer: 0,
            cost: 0.0,
            refusals: BTreeMap::new(),
            retries: 0,
            hedges: 0,
            cached: 0,
        }
    }

    pub(crate) fn count(&mut self, it: &Counted<'_>, end: End) {
        let class = &mut self.classes[it.class];
        let account = self
            .accounts
            .entry((it.class, it.account.to_owned()))
            .or_default();
        add(&mut class.counts, it, &end);
        add(account, it, &end);
        class.offered[it.bucket] += 1;
        match end {
            End::Refused(reason) | End::Failed(reason) => {
                *self.refusals.entry(reason.code()).or_default() += 1;
            }
            End::Answered {
                attained,
                first_token,
                cheap,
            } => {
                class
                    .first_token
                    .saturating_record(first_token.as_micros() as u64);
                if attained {
                    class.attained[it.bucket] += 1;
                    self.attained_answer += u64::from(it.answer);
                    self.cheap_answer += if cheap { u64::from(it.answer) } else { 0 };
                }
            }
        }
    }

    pub(crate) fn finish(
        self,
        policy: Policy,
        time: Duration,
        weights: &dyn Fn(&str) -> f64,
        calm: usize,
    ) -> Outcome {
        let accounts = self.accounts(weights);
        let worst = accounts.iter().map(|it| it.served).fold(1.0, f64::min);
        let attained: u64 = self.classes.iter().map(|it| it.counts.attained).sum();
        let mut classes: Vec<_> = self.classes.iter().map(ClassMeter::figures).collect();
        classes.sort_by(|a, b| (a.tier, &a.id).cmp(&(b.tier, &b.id)));
        let recovery = recovery(&classes, calm);
        Outcome {
            policy: policy.as_str(),
            classes,
            accounts,
            goodput: self.attained_answer as f64 / time.as_secs_f64(),
            wasted: 1.0 - ratio(self.attained_answer as f64, self.generated as f64).min(1.0),
            worst_account: worst,
            spend: self.cost / time.as_secs_f64(),
            spend_per_thousand: ratio(self.cost / 3600.0 * 1000.0, attained as f64),
            cheaper: ratio(self.cheap_answer as f64, self.attained_answer as f64),
            refusals: self.refusals,
            retries: self.retries,
            hedges: self.hedges,
            cached: self.cached,
            recovery_s: recovery,
        }
    }

    fn accounts(&self, weights: &dyn Fn(&str) -> f64) -> Vec<Account> {
        let figures = |((class, account), counts): (&(usize, String), &Counts)| {
            let of_class = self.accounts.iter().filter(|((it, _), _)| it == class);
            let total: f64 = of_class.clone().map(|(key, _)| weights(&key.1)).sum();
            let attained: u64 = of_class.map(|(_, it)| it.attained_tokens).sum();
            let fair = attained as f64 * weights(account) / total;
            let due = fair.min(counts.offered_tokens as f64);
            Account {
                class: self.classes[*class].id.clone(),
                account: account.clone(),
                counts: counts.clone(),
                served: if due > 0.0 {
                    (counts.attained_tokens as f64 / due).min(1.0)
                } else {
                    0.0
                },
            }
        };
        self.accounts.iter().map(figures).collect()
    }
}

impl ClassMeter {
    fn figures(&self) -> Class {
        let quantile = |q| self.first_token.value_at_quantile(q) as f64 / 1000.0;
        Class {
            id: self.id.clone(),
            tier: self.tier,
            counts: self.counts.clone(),
            first_token_p50_ms: quantile(0.5),
            first_token_p99_ms: quantile(0.99),
            attained: self.attained.clone(),
            offered: self.offered.clone(),
        }
    }
}

fn add(counts: &mut Counts, it: &Counted<'_>, end: &End) {
    let tokens = u64::from(it.prompt) + u64::from(it.answer);
    counts.offered += 1;
    counts.offered_tokens += tokens;
    match end {
        End::Refused(_) => counts.refused += 1,
        End::Failed(_) => counts.failed += 1,
        End::Answered {
            attained: false, ..
        } => counts.late += 1,
        End::Answered { attained: true, .. } => {
            counts.attained += 1;
            counts.attained_tokens += tokens;
        }
    }
}

/// Seconds from interval `calm` until the whole service attains 95% over
/// [`CALM_BUCKETS`] intervals together.
fn recovery(classes: &[Class], calm: usize) -> Option<u64> {
    let buckets = classes.first().map_or(0, |it| it.offered.len());
    let is_good = |from: usize| {
        let window = from..from + CALM_BUCKETS;
        let sum = |series: &Vec<u64>| series[window.clone()].iter().sum::<u64>();
        let attained: u64 = classes.iter().map(|it| sum(&it.attained)).sum();
        let offered: u64 = classes.iter().map(|it| sum(&it.offered)).sum();
        offered > 0 && attained as f64 >= RECOVERED * offered as f64
    };
    let last = buckets.checked_sub(CALM_BUCKETS)?;
    let first = (calm..=last).find(|&from| is_good(from))?;
    Some((first - calm) as u64 * super::BUCKET.as_secs())
}

fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 0.0 }
}

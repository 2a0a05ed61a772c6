//! Measures the outcome of an experiment under one policy.

use std::collections::BTreeMap;
use std::time::Duration;

use agate_model::refusal::Reason;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::experiment::Policy;

/// Number of consecutive intervals whose attainment is averaged for [`Outcome::recovery_s`].
const RECOVERY_BUCKETS: usize = 3;
/// Attainment over all classes from which on the service counts as recovered.
const RECOVERED: f64 = 0.95;
/// Upper bound of the first-token histogram in microseconds; longer times count as this one.
const MAX_MICROS: u64 = 3_600_000_000;

/// Counts of requests by their end.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counts {
    /// Requests that arrived.
    pub offered: u64,
    /// Requests that completed within all targets.
    pub attained: u64,
    /// Requests that completed but missed a target.
    pub late: u64,
    /// Requests that were refused and never reached an engine.
    pub refused: u64,
    /// Requests that reached an engine but have no complete response.
    pub failed: u64,
    /// Prompt and response tokens of attained requests.
    pub attained_tokens: u64,
    /// Prompt and response tokens of offered requests.
    pub offered_tokens: u64,
}

impl Counts {
    /// Returns the share of the offered requests that met all targets; 0 if none were offered.
    pub fn attainment(&self) -> f64 {
        ratio(self.attained as f64, self.offered as f64)
    }
}

/// Results of one class under one policy.
#[derive(Clone, Debug, Serialize)]
pub struct Class {
    /// Name of the class.
    pub id: String,
    /// Priority of the class; 0 is the highest.
    pub tier: u8,
    /// Counted requests, without those of the warm-up and of the end.
    pub counts: Counts,
    /// Median time to the first token of completed requests, in milliseconds.
    pub first_token_p50_ms: f64,
    /// 99th percentile of the time to the first token of completed requests, in milliseconds.
    pub first_token_p99_ms: f64,
    /// Attained requests by interval of arrival.
    pub attained: Vec<u64>,
    /// Offered requests by interval of arrival.
    pub offered: Vec<u64>,
}

/// Results of one client account in one class.
#[derive(Clone, Debug, Serialize)]
pub struct Account {
    /// Name of the class.
    pub class: String,
    /// Name of the client account.
    pub account: String,
    /// Counted requests, without those of the warm-up and of the end.
    pub counts: Counts,
    /// Attained tokens as a share of what the account is due: what it offered, or its weighted
    /// fair share of the tokens that the class attained if that is less. From 0 to 1.
    pub served: f64,
}

/// Results of one policy in one experiment.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Name of the policy, see [`Policy::as_str`].
    pub policy: &'static str,
    /// Results by class, sorted by tier and name.
    pub classes: Vec<Class>,
    /// Results by account, sorted by class.
    pub accounts: Vec<Account>,
    /// Response tokens of attained requests per second.
    pub goodput: f64,
    /// Share of the generated tokens that did not belong to an attained request.
    pub wasted: f64,
    /// Smallest [`Account::served`] of all accounts; 1 without accounts.
    pub worst_account: f64,
    /// Mean price of the endpoints per hour; a standard endpoint costs 1.
    pub spend: f64,
    /// Price of the endpoints per thousand attained requests.
    pub spend_per_thousand: f64,
    /// Share of the response tokens of attained requests that came from reclaimable endpoints.
    pub cheaper: f64,
    /// Refused and failed requests by code of the reason.
    pub refusals: BTreeMap<&'static str, u64>,
    /// Number of retries sent.
    pub retries: u64,
    /// Number of hedges sent.
    pub hedges: u64,
    /// Number of attempts sent to an endpoint that was preferred for its prefix cache.
    pub cached: u64,
    /// Seconds from the end of the last burst or the start of the last fault until all classes
    /// together attain 95% over half a minute; `None` if they never do.
    pub recovery_s: Option<u64>,
}

/// How a request ended.
#[derive(Clone, Copy, Debug)]
pub(crate) enum End {
    /// Refused before any engine took it.
    Refused(Reason),
    /// Taken by an engine but not completed.
    Failed(Reason),
    /// Completed with its whole response.
    Completed {
        /// Whether all targets of the class were met.
        attained: bool,
        /// Time from arrival to the first token.
        first_token: Duration,
        /// Whether a reclaimable endpoint generated the response.
        is_reclaimable: bool,
    },
}

/// Measurements of one class.
struct ClassMeter {
    id: String,
    tier: u8,
    counts: Counts,
    /// Times to the first token of completed requests, in microseconds.
    first_token: Histogram<u64>,
    /// Attained requests by interval of arrival.
    attained: Vec<u64>,
    /// Offered requests by interval of arrival.
    offered: Vec<u64>,
}

/// Collects measurements while an experiment runs.
pub(crate) struct Meter {
    classes: Vec<ClassMeter>,
    /// Counts by class position and account.
    accounts: BTreeMap<(usize, String), Counts>,
    /// Tokens generated for counted requests.
    pub(crate) generated: u64,
    /// Response tokens of attained requests.
    attained_tokens: u64,
    /// Response tokens of attained requests that came from reclaimable endpoints.
    reclaimable_tokens: u64,
    /// Price of all endpoints after the warm-up, as hourly price times seconds.
    pub(crate) cost: f64,
    refusals: BTreeMap<&'static str, u64>,
    pub(crate) retries: u64,
    pub(crate) hedges: u64,
    pub(crate) cached: u64,
}

/// A request that has ended, as the meter counts it.
pub(crate) struct Counted<'a> {
    /// Position of the class.
    pub(crate) class: usize,
    pub(crate) account: &'a str,
    pub(crate) prompt_tokens: u32,
    pub(crate) response_tokens: u32,
    /// Interval in which it arrived.
    pub(crate) bucket: usize,
}

impl Meter {
    /// Returns a meter for classes, given by name and tier, and a number of intervals.
    pub(crate) fn new(classes: &[(String, u8)], buckets: usize) -> Self {
        let meter = |(id, tier): &(String, u8)| ClassMeter {
            id: id.clone(),
            tier: *tier,
            counts: Counts::default(),
            first_token: Histogram::new_with_bounds(1, MAX_MICROS, 3)
                .expect("the histogram bounds are valid"),
            attained: vec![0; buckets],
            offered: vec![0; buckets],
        };
        Self {
            classes: classes.iter().map(meter).collect(),
            accounts: BTreeMap::new(),
            generated: 0,
            attained_tokens: 0,
            reclaimable_tokens: 0,
            cost: 0.0,
            refusals: BTreeMap::new(),
            retries: 0,
            hedges: 0,
            cached: 0,
        }
    }

    /// Counts a request that has ended.
    pub(crate) fn count(&mut self, counted: &Counted<'_>, end: End) {
        let class = &mut self.classes[counted.class];
        let account = self
            .accounts
            .entry((counted.class, counted.account.to_owned()))
            .or_default();
        add(&mut class.counts, counted, &end);
        add(account, counted, &end);
        class.offered[counted.bucket] += 1;
        match end {
            End::Refused(reason) | End::Failed(reason) => {
                *self.refusals.entry(reason.code()).or_default() += 1;
            }
            End::Completed {
                attained,
                first_token,
                is_reclaimable,
            } => {
                class
                    .first_token
                    .saturating_record(first_token.as_micros() as u64);
                if attained {
                    class.attained[counted.bucket] += 1;
                    self.attained_tokens += u64::from(counted.response_tokens);
                    self.reclaimable_tokens += if is_reclaimable {
                        u64::from(counted.response_tokens)
                    } else {
                        0
                    };
                }
            }
        }
    }

    /// Returns the results. `time` is the measured time without the warm-up, `weights` gives the
    /// weight of an account, `calm` is the interval of the last disturbance.
    pub(crate) fn finish(
        self,
        policy: Policy,
        time: Duration,
        weights: &dyn Fn(&str) -> f64,
        disturbed: usize,
    ) -> Outcome {
        let accounts = self.accounts(weights);
        let worst = accounts
            .iter()
            .map(|account| account.served)
            .fold(1.0, f64::min);
        let attained: u64 = self.classes.iter().map(|class| class.counts.attained).sum();
        let mut classes: Vec<_> = self.classes.iter().map(ClassMeter::results).collect();
        classes.sort_by(|a, b| (a.tier, &a.id).cmp(&(b.tier, &b.id)));
        let recovery = recovery(&classes, disturbed);
        Outcome {
            policy: policy.as_str(),
            classes,
            accounts,
            goodput: self.attained_tokens as f64 / time.as_secs_f64(),
            wasted: 1.0 - ratio(self.attained_tokens as f64, self.generated as f64).min(1.0),
            worst_account: worst,
            spend: self.cost / time.as_secs_f64(),
            spend_per_thousand: ratio(self.cost / 3600.0 * 1000.0, attained as f64),
            cheaper: ratio(self.reclaimable_tokens as f64, self.attained_tokens as f64),
            refusals: self.refusals,
            retries: self.retries,
            hedges: self.hedges,
            cached: self.cached,
            recovery_s: recovery,
        }
    }

    /// Returns the results by class and account.
    fn accounts(&self, weights: &dyn Fn(&str) -> f64) -> Vec<Account> {
        let results = |((class, account), counts): (&(usize, String), &Counts)| {
            let of_class = self
                .accounts
                .iter()
                .filter(|((other, _), _)| other == class);
            let total: f64 = of_class.clone().map(|(key, _)| weights(&key.1)).sum();
            let attained: u64 = of_class.map(|(_, counts)| counts.attained_tokens).sum();
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
        self.accounts.iter().map(results).collect()
    }
}

impl ClassMeter {
    fn results(&self) -> Class {
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

/// Adds a request to the counts of its class or account.
fn add(counts: &mut Counts, counted: &Counted<'_>, end: &End) {
    let tokens = u64::from(counted.prompt_tokens) + u64::from(counted.response_tokens);
    counts.offered += 1;
    counts.offered_tokens += tokens;
    match end {
        End::Refused(_) => counts.refused += 1,
        End::Failed(_) => counts.failed += 1,
        End::Completed {
            attained: false, ..
        } => counts.late += 1,
        End::Completed { attained: true, .. } => {
            counts.attained += 1;
            counts.attained_tokens += tokens;
        }
    }
}

/// Returns the seconds from interval `calm` until all classes together attain 95% over
/// [`RECOVERY_BUCKETS`] intervals; `None` if they never do.
fn recovery(classes: &[Class], disturbed: usize) -> Option<u64> {
    let buckets = classes.first().map_or(0, |class| class.offered.len());
    let is_recovered = |from: usize| {
        let window = from..from + RECOVERY_BUCKETS;
        let sum = |series: &Vec<u64>| series[window.clone()].iter().sum::<u64>();
        let attained: u64 = classes.iter().map(|class| sum(&class.attained)).sum();
        let offered: u64 = classes.iter().map(|class| sum(&class.offered)).sum();
        offered > 0 && attained as f64 >= RECOVERED * offered as f64
    };
    let last = buckets.checked_sub(RECOVERY_BUCKETS)?;
    let first = (disturbed..=last).find(|&from| is_recovered(from))?;
    Some((first - disturbed) as u64 * super::BUCKET.as_secs())
}

/// Returns `part / total`, or 0 if the total is 0.
fn ratio(part: f64, total: f64) -> f64 {
    if total > 0.0 { part / total } else { 0.0 }
}

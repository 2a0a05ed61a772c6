//! Limits of client accounts on one host: concurrency, request rate and token rate.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use agate_model::account::Account;
use agate_model::id::AccountId;
use agate_model::refusal::Reason;

/// Burst allowed on top of the request rate: the requests of this time may arrive at once.
const REQUEST_BURST: Duration = Duration::from_secs(1);
/// Burst allowed on top of the token rate: the tokens of this time may be used at once.
const TOKEN_BURST: Duration = Duration::from_secs(60);
/// Period to which the token limit refers.
const MINUTE: Duration = Duration::from_secs(60);
/// Number of accounts with state below which idle ones are not searched for.
const MIN_SWEEP: usize = 64;

/// Limits of one client account on this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Most requests that may be running or queued at once.
    pub max_concurrent: u32,
    /// Most requests per second; `None` means no limit.
    pub requests_per_second: Option<u32>,
    /// Most prompt and response tokens per minute; `None` means no limit.
    pub tokens_per_minute: Option<u64>,
}

impl From<&Account> for Limit {
    fn from(account: &Account) -> Self {
        Self {
            max_concurrent: account.max_concurrent,
            requests_per_second: account.requests_per_second,
            tokens_per_minute: account.tokens_per_minute,
        }
    }
}

/// Error for a request that would exceed a limit of its account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("account limit exceeded: {}", reason.code())]
pub struct Excess {
    /// Limit that is exceeded: [`Reason::AccountConcurrency`] or [`Reason::AccountRate`].
    pub reason: Reason,
    /// Time after which a retry can succeed; zero if it is not known.
    pub retry_after: Duration,
}

/// Rate limit by the generic cell rate algorithm.
#[derive(Clone, Copy, Debug, Default)]
struct Gcra {
    /// Time at which the burst is available in full again; `None` before the first use.
    full_at: Option<Instant>,
}

impl Gcra {
    /// Returns the time until another unit conforms to the limit; zero if it does now.
    fn wait(&self, now: Instant, burst: Duration) -> Duration {
        let until_full = self
            .full_at
            .map_or(Duration::ZERO, |at| at.saturating_duration_since(now));
        until_full.saturating_sub(burst)
    }

    /// Charges a cost, given as the time in which the rate earns it.
    fn add(&mut self, now: Instant, cost: Duration) {
        let base = self.full_at.map_or(now, |full_at| full_at.max(now));
        self.full_at = Some(base + cost);
    }

    /// Takes back a part of an earlier charge.
    fn refund(&mut self, cost: Duration) {
        self.full_at = self.full_at.and_then(|full_at| full_at.checked_sub(cost));
    }

    /// Returns whether the burst is available in full.
    fn is_full(&self, now: Instant) -> bool {
        self.full_at.is_none_or(|full_at| full_at <= now)
    }
}

/// What an account uses of its limits now.
#[derive(Debug, Default)]
struct Usage {
    /// Requests admitted and not yet released.
    concurrent: u32,
    /// Limit of requests per second.
    requests: Gcra,
    /// Limit of tokens per minute.
    tokens: Gcra,
}

impl Usage {
    /// Returns whether the state is that of an account which was never seen.
    fn is_idle(&self, now: Instant) -> bool {
        self.concurrent == 0 && self.requests.is_full(now) && self.tokens.is_full(now)
    }
}

/// Admission of one request, to be passed to [`Limiter::release`] when the request ends.
#[derive(Debug)]
#[must_use = "a permit is released when the request ends"]
pub struct Permit {
    account: AccountId,
    /// Estimated tokens that were charged on admission.
    tokens: u64,
    /// Cost of one token on admission; zero without a token limit.
    per_token: Duration,
}

/// Usage of all client accounts on one host. Only active accounts have state, so that idle
/// ones take no memory.
#[derive(Debug, Default)]
pub struct Limiter {
    accounts: HashMap<AccountId, Usage>,
    /// Number of accounts that the last sweep left.
    active_after_sweep: usize,
}

impl Limiter {
    /// Creates a limiter without any usage.
    pub fn new() -> Self {
        Self::default()
    }

    /// Admits a request that is estimated to use `tokens`, or returns the limit that it would
    /// exceed. The concurrency limit is checked before the rates.
    pub fn admit(
        &mut self,
        now: Instant,
        account: &AccountId,
        limit: &Limit,
        tokens: u64,
    ) -> Result<Permit, Excess> {
        self.sweep(now);
        let usage = self.accounts.entry(account.clone()).or_default();
        if usage.concurrent >= limit.max_concurrent {
            return Err(Excess {
                reason: Reason::AccountConcurrency,
                retry_after: Duration::ZERO,
            });
        }
        let per_request = interval(
            Duration::from_secs(1),
            limit.requests_per_second.map(u64::from),
        );
        let per_token = interval(MINUTE, limit.tokens_per_minute);
        let burst = REQUEST_BURST.saturating_sub(per_request);
        let wait = usage
            .requests
            .wait(now, burst)
            .max(usage.tokens.wait(now, TOKEN_BURST));
        if !wait.is_zero() {
            return Err(Excess {
                reason: Reason::AccountRate,
                retry_after: wait,
            });
        }
        usage.concurrent += 1;
        usage.requests.add(now, per_request);
        usage.tokens.add(now, multiply(per_token, tokens));
        Ok(Permit {
            account: account.clone(),
            tokens,
            per_token,
        })
    }

    /// Ends an admitted request and replaces its estimated tokens by those actually used.
    pub fn release(&mut self, now: Instant, permit: Permit, actual: u64) {
        let Permit {
            account,
            tokens,
            per_token,
        } = permit;
        let Some(usage) = self.accounts.get_mut(&account) else {
            return;
        };
        usage.concurrent = usage.concurrent.saturating_sub(1);
        if actual >= tokens {
            usage.tokens.add(now, multiply(per_token, actual - tokens));
        } else {
            usage.tokens.refund(multiply(per_token, tokens - actual));
        }
        if usage.is_idle(now) {
            self.accounts.remove(&account);
        }
    }

    /// Returns the number of accounts with state.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Returns whether no account has state.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Removes idle accounts once the number of accounts has doubled since the last sweep.
    fn sweep(&mut self, now: Instant) {
        if self.accounts.len() < MIN_SWEEP.max(2 * self.active_after_sweep) {
            return;
        }
        self.accounts.retain(|_, usage| !usage.is_idle(now));
        self.active_after_sweep = self.accounts.len();
    }
}

/// Returns the time that a limit of `count` per `period` allows for one unit; zero without a
/// limit.
fn interval(period: Duration, count: Option<u64>) -> Duration {
    match count {
        None => Duration::ZERO,
        Some(count) => period.div_f64(count.max(1) as f64),
    }
}

/// Returns the cost of `count` units.
fn multiply(unit: Duration, count: u64) -> Duration {
    Duration::from_secs_f64(unit.as_secs_f64() * count as f64)
}

//! Limits of client accounts on one host.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use agate_model::account::Account;
use agate_model::id::AccountId;
use agate_model::refusal::Reason;

/// Burst allowed on top of the rate of requests.
const REQUEST_BURST: Duration = Duration::from_secs(1);
/// Burst allowed on top of the rate of tokens.
const TOKEN_BURST: Duration = Duration::from_secs(60);
/// Period of the token limit.
const MINUTE: Duration = Duration::from_secs(60);
/// Accounts kept before idle ones are looked for.
const MIN_SWEEP: usize = 64;

/// Limits of one account on this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Requests running or queued at once.
    pub max_concurrent: u32,
    /// Requests per second; `None` is unlimited.
    pub requests_per_second: Option<u32>,
    /// Prompt and answer tokens per minute; `None` is unlimited.
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

/// Refusal for a limit of the account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("account limit exceeded: {}", reason.code())]
pub struct Excess {
    /// [`Reason::AccountConcurrency`] or [`Reason::AccountRate`].
    pub reason: Reason,
    /// Wait before the next attempt can succeed; zero if unknown.
    pub retry_after: Duration,
}

/// Generic cell rate algorithm: the time at which the allowance is whole again.
#[derive(Clone, Copy, Debug, Default)]
struct Cell {
    full: Option<Instant>,
}

impl Cell {
    /// Time until a unit may pass; zero if it may pass now.
    fn wait(&self, now: Instant, burst: Duration) -> Duration {
        let debt = self
            .full
            .map_or(Duration::ZERO, |full| full.saturating_duration_since(now));
        debt.saturating_sub(burst)
    }

    fn add(&mut self, now: Instant, cost: Duration) {
        let base = self.full.map_or(now, |full| full.max(now));
        self.full = Some(base + cost);
    }

    fn refund(&mut self, cost: Duration) {
        self.full = self.full.and_then(|full| full.checked_sub(cost));
    }

    fn is_full(&self, now: Instant) -> bool {
        self.full.is_none_or(|full| full <= now)
    }
}

#[derive(Debug, Default)]
struct Usage {
    concurrent: u32,
    requests: Cell,
    tokens: Cell,
}

impl Usage {
    fn is_idle(&self, now: Instant) -> bool {
        self.concurrent == 0 && self.requests.is_full(now) && self.tokens.is_full(now)
    }
}

/// An admitted request; give it back to [`Limiter::release`].
#[derive(Debug)]
#[must_use = "a permit is released when the request ends"]
pub struct Permit {
    account: AccountId,
    tokens: u64,
    per_token: Duration,
}

/// Limits of all accounts on one host. State is kept for active accounts only.
#[derive(Debug, Default)]
pub struct Limiter {
    accounts: HashMap<AccountId, Usage>,
    swept: usize,
}

impl Limiter {
    /// A limiter without any usage.
    pub fn new() -> Self {
        Self::default()
    }

    /// Admits a request that is estimated to use `tokens`.
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
        let per_request = period(
            Duration::from_secs(1),
            limit.requests_per_second.map(u64::from),
        );
        let per_token = period(MINUTE, limit.tokens_per_minute);
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
        usage.tokens.add(now, times(per_token, tokens));
        Ok(Permit {
            account: account.clone(),
            tokens,
            per_token,
        })
    }

    /// Ends a request and replaces its estimate by the tokens used.
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
            usage.tokens.add(now, times(per_token, actual - tokens));
        } else {
            usage.tokens.refund(times(per_token, tokens - actual));
        }
        if usage.is_idle(now) {
            self.accounts.remove(&account);
        }
    }

    /// Accounts with state.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether no account has state.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Drops idle accounts whenever their number has doubled.
    fn sweep(&mut self, now: Instant) {
        if self.accounts.len() < MIN_SWEEP.max(2 * self.swept) {
            return;
        }
        self.accounts.retain(|_, usage| !usage.is_idle(now));
        self.swept = self.accounts.len();
    }
}

fn period(whole: Duration, count: Option<u64>) -> Duration {
    match count {
        None => Duration::ZERO,
        Some(count) => whole.div_f64(count.max(1) as f64),
    }
}

fn times(unit: Duration, count: u64) -> Duration {
    Duration::from_secs_f64(unit.as_secs_f64() * count as f64)
}

//! Acquires and keeps the lease.

use std::time::Duration;

use agate_lease::{Attempt, Candidate, Entry, Renewal, Row, Settlement, Verdict, row};
use agate_store::Error;
use agate_wire::lease;
use agate_wire::table::Transaction;
use tokio::time::{sleep, timeout};

use crate::config::reader::jittered;
use crate::context::{self, Context};
use crate::duty::metrics::count;
use crate::duty::seat::{now, seen};
use crate::duty::store;

/// Hosts that watch the lease closely; the others step in when these are gone.
const CANDIDATES: usize = 5;
/// Between two reads of a close watcher.
const WATCH: Duration = Duration::from_secs(1);
/// Between two reads of the others.
const SLOW_WATCH: Duration = Duration::from_secs(30);
/// Before a failed call is repeated.
const RETRY: Duration = Duration::from_millis(500);
/// Longest time for giving up the lease at shutdown.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// What this process is doing about the lease.
#[derive(Debug)]
enum Role {
    Candidate(Candidate),
    Acquiring(Box<Attempt>),
    Holder,
}

/// Acquires and keeps the lease, in single steps.
#[derive(Debug)]
pub struct Keeper {
    role: Role,
}

/// Runs until the task is aborted.
pub async fn run(context: Context) {
    let mut keeper = Keeper::new(&context);
    loop {
        let pause = keeper.step(&context).await;
        sleep(pause).await;
    }
}

/// Gives the lease up, so that a successor need not wait. Nothing may be on its way.
pub async fn release(context: &Context) {
    let seat = &context.duty.seat;
    if seat.is_busy() {
        seat.leave();
        return;
    }
    let Some(holder) = seat.leave() else { return };
    let epoch = holder.epoch();
    let renewal = holder.release();
    let outcome = timeout(
        RELEASE_TIMEOUT,
        commit(context, Some(renewal.check), renewal.row),
    )
    .await;
    if let Ok(Ok(_)) = outcome {
        tracing::info!(event = "lease_released", epoch);
    }
}

/// Reads who holds the lease, for a host that learns that it no longer knows.
pub async fn look(context: &Context) {
    if let Ok(found) = read(context).await {
        note(context, found.as_ref().map(|it| &it.row));
    }
}

impl Keeper {
    /// A candidate.
    pub fn new(context: &Context) -> Self {
        Self {
            role: candidate(context),
        }
    }

    /// Does what is due; the pause before the next step.
    pub async fn step(&mut self, context: &Context) -> Duration {
        let pause = match &mut self.role {
            Role::Candidate(_) => self.watch(context).await,
            Role::Acquiring(_) => self.acquire(context).await,
            Role::Holder => self.renew(context).await,
        };
        let is_held = context.duty.seat.epoch().is_some();
        context.duty.metrics.held.set(i64::from(is_held));
        pause
    }

    async fn watch(&mut self, context: &Context) -> Duration {
        let Ok(found) = read(context).await else {
            return RETRY;
        };
        note(context, found.as_ref().map(|it| &it.row));
        let Role::Candidate(candidate) = &mut self.role else {
            return Duration::ZERO;
        };
        match candidate.observe(found.as_ref(), now()) {
            Verdict::Acquire if is_eligible(context) => {
                let nonce = hex::encode(rand::random::<[u8; 16]>());
                let attempt = candidate.acquire(found.as_ref(), nonce, now());
                self.role = Role::Acquiring(Box::new(attempt));
                Duration::ZERO
            }
            Verdict::Wait(wait) => wait.min(watch_interval(context)),
            Verdict::Acquire => watch_interval(context),
        }
    }

    async fn acquire(&mut self, context: &Context) -> Duration {
        let Role::Acquiring(attempt) = &self.role else {
            return Duration::ZERO;
        };
        let attempt = attempt.clone();
        match commit(context, attempt.check, attempt.row.clone()).await {
            Ok(revision) => self.take(context, attempt.committed(revision)),
            Err(Error::Unreached(_) | Error::Refused { .. }) => RETRY,
            Err(Error::Conflict(_) | Error::Unknown(_)) => self.settle(context, &attempt).await,
        }
    }

    async fn settle(&mut self, context: &Context, attempt: &Attempt) -> Duration {
        let Ok(found) = read(context).await else {
            return RETRY;
        };
        match attempt.settle(found.as_ref()) {
            Settlement::Held(holder) => self.take(context, *holder),
            Settlement::Unchanged => RETRY,
            Settlement::Lost => {
                count(&context.duty.metrics.lease, "raced");
                self.role = candidate(context);
                Duration::ZERO
            }
        }
    }

    fn take(&mut self, context: &Context, holder: agate_lease::Holder) -> Duration {
        tracing::info!(event = "lease_acquired", epoch = holder.epoch());
        count(&context.duty.metrics.lease, "acquired");
        context.duty.seat.take(holder);
        self.role = Role::Holder;
        Duration::ZERO
    }

    async fn renew(&mut self, context: &Context) -> Duration {
        let Some(renewal) = context.duty.seat.with(|it| it.renew(now())) else {
            count(&context.duty.metrics.lease, "lost");
            self.role = candidate(context);
            return Duration::ZERO;
        };
        note(context, Some(&renewal.row));
        match self.try_renew(context, renewal).await {
            Ok(()) => context.settings.lease.renewal,
            Err(err) => {
                tracing::warn!(event = "lease_not_renewed", error = %err);
                count(&context.duty.metrics.lease, "renewal_failed");
                RETRY
            }
        }
    }

    async fn try_renew(&self, context: &Context, renewal: Renewal) -> Result<(), Error> {
        let seat = &context.duty.seat;
        match commit(context, Some(renewal.check), renewal.row).await {
            Ok(revision) => {
                seat.with(|it| it.renewed(revision));
                Ok(())
            }
            Err(Error::Conflict(_) | Error::Unknown(_)) => {
                let found = read(context).await?;
                // The next step finds the seat empty if the lease was lost.
                let _ = seat.settle(found.as_ref());
                Ok(())
            }
            Err(err) => Err(err),
        }
    }
}

fn candidate(context: &Context) -> Role {
    let terms = context.settings.lease.terms();
    let host = context.host.id.clone();
    Role::Candidate(Candidate::new(
        terms,
        host,
        context.host.incarnation.clone(),
    ))
}

/// Whether this process may become the holder.
fn is_eligible(context: &Context) -> bool {
    !context.leaving.get() && !context.members.is_leaving()
}

fn watch_interval(context: &Context) -> Duration {
    let own = &context.host.id;
    let before = context
        .members
        .live()
        .iter()
        .filter(|it| it.host.id < *own)
        .count();
    let is_close = before < CANDIDATES;
    jittered(if is_close { WATCH } else { SLOW_WATCH })
}

/// Publishes who holds the lease.
fn note(context: &Context, row: Option<&Row>) {
    let lease = row.filter(|it| !it.released).map(|it| context::Lease {
        holder: it.host.clone(),
        epoch: it.epoch,
    });
    let epoch = row.map_or(0, |it| it.epoch);
    let epoch = i64::try_from(epoch).unwrap_or(i64::MAX);
    context.duty.metrics.epoch.set(epoch);
    *context.lease.borrow_mut() = lease;
}

async fn read(context: &Context) -> Result<Option<Entry>, Error> {
    let found = context.platform.tables.get(row::TABLE, row::KEY).await?;
    found.as_ref().map(seen).transpose()
}

async fn commit(context: &Context, check: Option<u64>, row: Row) -> Result<u64, Error> {
    let transaction = Transaction {
        checks: vec![store::check(row::TABLE, row::KEY, check)],
        writes: vec![store::put(row::TABLE, row::KEY, &lease::Row::from(row))],
    };
    let commit = context.platform.tables.commit(&transaction).await?;
    Ok(commit.revision)
}

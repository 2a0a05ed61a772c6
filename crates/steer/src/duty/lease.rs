//! Acquires, renews and releases the lease.

use std::time::Duration;

use agate_lease::{Attempt, Candidate, Entry, Renewal, Row, Settlement, Verdict, row};
use agate_store::Error;
use agate_wire::lease;
use agate_wire::table::Transaction;
use tokio::time::{sleep, timeout};

use crate::config::reader::jittered;
use crate::context::{self, Context};
use crate::duty::metrics::count;
use crate::duty::store;
use crate::duty::tenure::{entry, now};

/// Number of live hosts, first by id, that watch the lease closely. The others watch slowly and
/// take over when these hosts are unavailable.
const CANDIDATES: usize = 5;
/// Interval between two reads of the lease by a host that watches it closely.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between two reads of the lease by any other host.
const SLOW_WATCH_INTERVAL: Duration = Duration::from_secs(30);
/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Timeout for releasing the lease at shutdown.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// State of this process with regard to the lease.
#[derive(Debug)]
enum Role {
    /// Watches the lease and waits until it may be acquired.
    Candidate(Candidate),
    /// Commits this attempt, until its outcome is known.
    Acquiring(Box<Attempt>),
    /// Renews the lease.
    Holder,
}

/// State machine that acquires and renews the lease, one step at a time.
#[derive(Debug)]
pub struct Keeper {
    role: Role,
}

/// Steps a [`Keeper`] until the task is aborted.
pub async fn run(context: Context) {
    let mut keeper = Keeper::new(&context);
    loop {
        let pause = keeper.step(&context).await;
        sleep(pause).await;
    }
}

/// Releases the lease, so that a successor need not wait for the end of its term. While something
/// sent under the lease may be in flight, only stops being the holder and lets the term run out.
pub async fn release(context: &Context) {
    let tenure = &context.duty.tenure;
    if tenure.is_in_flight() {
        tenure.end();
        return;
    }
    let Some(holder) = tenure.end() else { return };
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

/// Reads and publishes who holds the lease, for a host whose knowledge of the holder proves to be
/// out of date.
pub async fn refresh(context: &Context) {
    if let Ok(found) = read(context).await {
        publish(context, found.as_ref().map(|entry| &entry.row));
    }
}

impl Keeper {
    /// Creates a keeper that starts as a candidate.
    pub fn new(context: &Context) -> Self {
        Self {
            role: candidate(context),
        }
    }

    /// Takes the next step and returns the delay before the one after it.
    pub async fn step(&mut self, context: &Context) -> Duration {
        let pause = match &mut self.role {
            Role::Candidate(_) => self.watch(context).await,
            Role::Acquiring(_) => self.acquire(context).await,
            Role::Holder => self.renew(context).await,
        };
        let is_held = context.duty.tenure.epoch().is_some();
        context.duty.metrics.held.set(i64::from(is_held));
        pause
    }

    async fn watch(&mut self, context: &Context) -> Duration {
        let Ok(found) = read(context).await else {
            return RETRY_DELAY;
        };
        publish(context, found.as_ref().map(|entry| &entry.row));
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
            Ok(revision) => match attempt.committed(revision) {
                Ok(holder) => self.hold(context, holder),
                Err(_) => self.retry(context),
            },
            Err(Error::Unreached(_) | Error::Refused { .. }) => RETRY_DELAY,
            Err(Error::Conflict(_) | Error::Unknown(_)) => self.settle(context, &attempt).await,
        }
    }

    async fn settle(&mut self, context: &Context, attempt: &Attempt) -> Duration {
        let Ok(found) = read(context).await else {
            return RETRY_DELAY;
        };
        match attempt.settle(found.as_ref()) {
            Settlement::Held(holder) => self.hold(context, *holder),
            Settlement::Unchanged => RETRY_DELAY,
            Settlement::Lost => self.retry(context),
        }
    }

    /// Becomes a candidate again, since the attempt can't succeed any more.
    fn retry(&mut self, context: &Context) -> Duration {
        count(&context.duty.metrics.lease, "raced");
        self.role = candidate(context);
        Duration::ZERO
    }

    fn hold(&mut self, context: &Context, holder: agate_lease::Holder) -> Duration {
        tracing::info!(event = "lease_acquired", epoch = holder.epoch());
        count(&context.duty.metrics.lease, "acquired");
        context.duty.tenure.start(holder);
        self.role = Role::Holder;
        Duration::ZERO
    }

    async fn renew(&mut self, context: &Context) -> Duration {
        let Some(renewal) = context.duty.tenure.with(|holder| holder.renew(now())) else {
            count(&context.duty.metrics.lease, "lost");
            self.role = candidate(context);
            return Duration::ZERO;
        };
        publish(context, Some(&renewal.row));
        match self.try_renew(context, renewal).await {
            Ok(()) => context.settings.lease.renewal,
            Err(err) => {
                tracing::warn!(event = "lease_not_renewed", error = %err);
                count(&context.duty.metrics.lease, "renewal_failed");
                RETRY_DELAY
            }
        }
    }

    async fn try_renew(&self, context: &Context, renewal: Renewal) -> Result<(), Error> {
        let tenure = &context.duty.tenure;
        match commit(context, Some(renewal.check), renewal.row).await {
            Ok(revision) => {
                tenure.renewed(revision);
                Ok(())
            }
            Err(Error::Conflict(_) | Error::Unknown(_)) => {
                let found = read(context).await?;
                // If the lease was lost, the tenure has ended and the next step finds no holder.
                let _ = tenure.settle(found.as_ref());
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

/// Returns whether this process may become the holder: not while its host shuts down.
fn is_eligible(context: &Context) -> bool {
    !context.leaving.get() && !context.members.is_leaving()
}

fn watch_interval(context: &Context) -> Duration {
    let own = &context.host.id;
    let preceding = context
        .members
        .live()
        .iter()
        .filter(|member| member.host.id < *own)
        .count();
    let is_close = preceding < CANDIDATES;
    jittered(if is_close {
        WATCH_INTERVAL
    } else {
        SLOW_WATCH_INTERVAL
    })
}

/// Publishes the holder and epoch of the lease to the other tasks and the metrics.
fn publish(context: &Context, row: Option<&Row>) {
    let lease = row.filter(|row| !row.released).map(|row| context::Lease {
        holder: row.host.clone(),
        epoch: row.epoch,
    });
    let epoch = row.map_or(0, |row| row.epoch);
    let epoch = i64::try_from(epoch).unwrap_or(i64::MAX);
    context.duty.metrics.epoch.set(epoch);
    *context.lease.borrow_mut() = lease;
}

async fn read(context: &Context) -> Result<Option<Entry>, Error> {
    let found = context.platform.tables.get(row::TABLE, row::KEY).await?;
    found.as_ref().map(entry).transpose()
}

async fn commit(context: &Context, check: Option<u64>, row: Row) -> Result<u64, Error> {
    let transaction = Transaction {
        checks: vec![store::check(row::TABLE, row::KEY, check)],
        writes: vec![store::put(row::TABLE, row::KEY, &lease::Row::from(row))],
    };
    let commit = context.platform.tables.commit(&transaction).await?;
    Ok(commit.revision)
}

//! Endpoint orders, each recorded in the store before it is sent to the platform.

use std::collections::BTreeMap;
use std::time::Duration;

use agate_fleet::machine;
use agate_model::endpoint::Kind;
use agate_model::id::{Epoch, PoolId};
use agate_store::Error;
use agate_wire::order::{Action, Order, Progress, Receipt, Record};
use agate_wire::table::Transaction;
use tokio::time::Instant;

use crate::context::Context;
use crate::duty::metrics::count;
use crate::duty::store::{self, Found};
use crate::duty::tenure::{Failure, Recorded, now};
use crate::duty::window::commit;

/// Name of the store's table of endpoint orders.
pub const TABLE: &str = "order";
/// Time after which an order without a response is sent again.
const RESEND: Duration = Duration::from_secs(15);
/// Time after its response by which the platform's list must show the effect of an order.
const LIST_LAG: Duration = Duration::from_secs(60);
/// HTTP statuses by which the platform refuses an order temporarily.
const BUSY_STATUSES: [u16; 2] = [429, 503];
/// Maximum number of rows deleted in one transaction.
const BATCH: usize = 100;

/// A recorded order, and what this process remembers of it.
#[derive(Clone, Debug)]
struct Entry {
    record: Record,
    key: String,
    revision: u64,
    /// When this process last sent the order; `None` if it has not sent it.
    sent_at: Option<Instant>,
    /// When the response was received, or first read from the store.
    responded_at: Option<Instant>,
}

/// All orders of this epoch, and those of earlier epochs that may still take effect.
#[derive(Debug)]
pub struct Register {
    epoch: Epoch,
    entries: BTreeMap<machine::OrderId, Entry>,
    /// Whether the entries may differ from the store, so that they have to be read again.
    is_stale: bool,
}

impl Register {
    /// Creates an empty register; [`Register::refresh`] fills it.
    pub fn new(epoch: Epoch) -> Self {
        Self {
            epoch,
            entries: BTreeMap::new(),
            is_stale: true,
        }
    }

    /// Returns the fencing epoch under which this register sends orders.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Reads all rows again if the entries may be out of date, as after a failed commit.
    pub async fn refresh(&mut self, context: &Context) -> Result<(), Error> {
        if !self.is_stale {
            return Ok(());
        }
        let rows = store::scan(&*context.platform.tables, TABLE, "", "").await?;
        let mut entries = BTreeMap::new();
        for row in &rows {
            let found: Found<Record> = store::parse(row)?;
            let id = found.value.order.id.clone();
            let known = self.entries.get(&id);
            let entry = Entry::read(found, known);
            entries.insert(id, entry);
        }
        self.entries = entries;
        self.is_stale = false;
        Ok(())
    }

    /// Converts the entries to the form that [`agate_fleet::reconcile`] takes.
    pub fn records(&self) -> Vec<machine::Record> {
        self.entries.values().map(Entry::record).collect()
    }

    /// Counts the endpoints of a pool and kind that are ordered and neither listed, refused nor
    /// settled.
    pub fn pending(&self, pool: &PoolId, kind: Kind, machines: &[machine::Machine]) -> u32 {
        let is_pending = |entry: &&Entry| {
            let is_start = matches!(
                &entry.record.order.action,
                Action::Start { pool: id, kind: wire, .. }
                    if id == pool && Kind::from(*wire) == kind
            );
            let is_listed = machines
                .iter()
                .any(|machine| machine.order == entry.record.order.id);
            is_start
                && !is_listed
                && entry.record.progress != Progress::Refused
                && !entry.is_settled()
        };
        u32::try_from(self.entries.values().filter(is_pending).count()).unwrap_or(u32::MAX)
    }

    /// Returns the places of start orders that the platform refused within the last `LIST_LAG`.
    pub fn refused(&self) -> impl Iterator<Item = machine::Place> + '_ {
        let is_refused = |entry: &&Entry| {
            let is_recent = entry.responded_at.is_some_and(|at| at.elapsed() < LIST_LAG);
            entry.record.progress == Progress::Refused && is_recent
        };
        let refused = self.entries.values().filter(is_refused);
        refused.filter_map(|entry| match action(&entry.record.order.action) {
            machine::Action::Start(place) => Some(place),
            machine::Action::Stop(_) => None,
        })
    }

    /// Records an order in a transaction that checks the lease, then sends it and records the
    /// response. An order whose record is in doubt is not sent; the next round finds its row or
    /// records it anew.
    pub async fn send(&mut self, context: &Context, order: &machine::Order) -> Result<(), Failure> {
        let record = Record {
            order: Order {
                id: order.id.clone(),
                epoch: self.epoch,
                sender: context.host.id.clone(),
                action: wire_action(&order.action),
            },
            progress: Progress::Open,
        };
        let recorded = self.write(context, &record).await?;
        if let Some(entry) = self.entries.get_mut(&order.id) {
            entry.sent_at = Some(Instant::now());
        }
        let response = call(context, &record.order, &recorded).await;
        let label = outcome(&response);
        count(&context.duty.metrics.orders, label);
        tracing::info!(
            event = "endpoint_order",
            order = order.id,
            epoch = self.epoch,
            outcome = label
        );
        self.record_response(context, record, response).await
    }

    /// Deletes rows of earlier epochs whose orders can have no further effect, at most `BATCH`.
    pub async fn prune(&mut self, context: &Context) -> Result<(), Failure> {
        let epoch = self.epoch;
        let obsolete = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.is_obsolete(epoch));
        let ids: Vec<machine::OrderId> = obsolete.map(|(id, _)| id.clone()).take(BATCH).collect();
        if ids.is_empty() {
            return Ok(());
        }
        let mut transaction = Transaction::default();
        for entry in ids.iter().filter_map(|id| self.entries.get(id)) {
            let check = store::check(TABLE, &entry.key, Some(entry.revision));
            transaction.checks.push(check);
            transaction.writes.push(store::delete(TABLE, &entry.key));
        }
        self.is_stale = true;
        commit(context, &transaction).await?;
        for id in &ids {
            self.entries.remove(id);
        }
        self.is_stale = false;
        Ok(())
    }

    async fn record_response(
        &mut self,
        context: &Context,
        record: Record,
        response: Result<Receipt, Error>,
    ) -> Result<(), Failure> {
        let progress = match response {
            Ok(Receipt::Done { endpoint }) => Progress::Done { endpoint },
            // The platform is busy; the order stays open and is sent again.
            Err(Error::Refused { status, .. }) if BUSY_STATUSES.contains(&status) => return Ok(()),
            Ok(Receipt::Unavailable) | Err(Error::Refused { .. }) => Progress::Refused,
            Ok(Receipt::Fenced { epoch }) => {
                tracing::warn!(event = "order_fenced", epoch);
                return Err(Failure::NotHeld);
            }
            Err(_) => return Ok(()),
        };
        let record = Record { progress, ..record };
        self.write(context, &record).await.map(|_| ())
    }

    async fn write(&mut self, context: &Context, record: &Record) -> Result<Recorded, Failure> {
        let id = &record.order.id;
        let known = self.entries.get(id);
        let key = known.map_or_else(|| key(self.epoch, id), |entry| entry.key.clone());
        let transaction = Transaction {
            checks: vec![store::check(TABLE, &key, known.map(|entry| entry.revision))],
            writes: vec![store::put(TABLE, &key, record)],
        };
        self.is_stale = true;
        let recorded = commit(context, &transaction).await?;
        self.is_stale = false;
        let has_response = record.progress != Progress::Open;
        let entry = Entry {
            record: record.clone(),
            key,
            revision: recorded.revision,
            sent_at: known.and_then(|entry| entry.sent_at),
            responded_at: has_response.then(Instant::now),
        };
        self.entries.insert(id.clone(), entry);
        Ok(recorded)
    }
}

impl Entry {
    /// Combines a row as read with what this process remembers of the order.
    fn read(found: Found<Record>, known: Option<&Entry>) -> Self {
        let has_response = found.value.progress != Progress::Open;
        let responded_at = known.and_then(|entry| entry.responded_at);
        Self {
            record: found.value,
            key: found.key,
            revision: found.revision,
            sent_at: known.and_then(|entry| entry.sent_at),
            responded_at: has_response.then(|| responded_at.unwrap_or_else(Instant::now)),
        }
    }

    fn record(&self) -> machine::Record {
        machine::Record {
            order: machine::Order {
                id: self.record.order.id.clone(),
                action: action(&self.record.order.action),
            },
            progress: match &self.record.progress {
                Progress::Open => machine::Progress::Open,
                Progress::Done { endpoint } => machine::Progress::Done(endpoint.clone()),
                Progress::Refused => machine::Progress::Refused,
            },
            resend: self.sent_at.is_none_or(|at| at.elapsed() >= RESEND),
            settled: self.is_settled(),
        }
    }

    /// Returns whether the platform's list shows the effect of the order by now.
    fn is_settled(&self) -> bool {
        self.responded_at.is_some_and(|at| at.elapsed() >= LIST_LAG)
    }

    /// Returns whether the order is of an epoch before `epoch` and can have no further effect.
    fn is_obsolete(&self, epoch: Epoch) -> bool {
        self.record.order.epoch < epoch && self.is_settled()
    }
}

fn key(epoch: Epoch, id: &str) -> String {
    format!("{epoch:020}/{id}")
}

/// Sends an order over a connection opened after the permit was obtained. The platform's client
/// checks the permit again before it sends the first byte.
async fn call(context: &Context, order: &Order, recorded: &Recorded) -> Result<Receipt, Error> {
    let terms = context.settings.lease.terms();
    let permit = recorded.permit;
    let deadline = terms.flight.min(permit.remaining(now()));
    let may_send = || permit.is_valid(now());
    context
        .duty
        .tenure
        .mark_in_flight(deadline + terms.flight + terms.idle);
    let orders = &context.platform.orders;
    orders.order(order, deadline, &may_send).await
}

/// Returns the value of `outcome` in metrics and log lines.
fn outcome(response: &Result<Receipt, Error>) -> &'static str {
    match response {
        Ok(Receipt::Done { .. }) => "done",
        Ok(Receipt::Unavailable) => "unavailable",
        Ok(Receipt::Fenced { .. }) => "fenced",
        Err(Error::Unreached(_)) => "not_sent",
        Err(Error::Unknown(_)) => "unanswered",
        Err(Error::Refused { status, .. }) if BUSY_STATUSES.contains(status) => "busy",
        Err(Error::Refused { .. } | Error::Conflict(_)) => "refused",
    }
}

fn action(action: &Action) -> machine::Action {
    match action {
        Action::Start { pool, zone, kind } => machine::Action::Start(machine::Place {
            pool: pool.clone(),
            zone: zone.clone(),
            kind: (*kind).into(),
        }),
        Action::Stop { endpoint } => machine::Action::Stop(endpoint.clone()),
    }
}

fn wire_action(action: &machine::Action) -> Action {
    match action {
        machine::Action::Start(place) => Action::Start {
            pool: place.pool.clone(),
            zone: place.zone.clone(),
            kind: place.kind.into(),
        },
        machine::Action::Stop(endpoint) => Action::Stop {
            endpoint: endpoint.clone(),
        },
    }
}

//! Orders engines to load the models of their pools.

use std::collections::BTreeMap;
use std::time::Duration;

use agate_lease::Permit;
use agate_model::endpoint::{Endpoint, Protocol};
use agate_model::id::{EndpointId, Epoch, ModelId};
use agate_store::Error;
use agate_wire::engine::{Action, Fenced, Order};
use agate_wire::table::Transaction;
use futures_util::{StreamExt as _, stream};
use tokio::time::{Instant, sleep};

use crate::config::reader::jittered;
use crate::context::Context;
use crate::duty::metrics::count;
use crate::duty::store;
use crate::duty::tenure::{Failure, now};
use crate::duty::window::commit;

/// Name of the store's table that holds the last order to each engine.
pub const TABLE: &str = "engine_order";
/// Model version in every load order.
const VERSION: &str = "1";
/// Interval between two rounds, and between two checks of an engine that lacks its model.
const INTERVAL: Duration = Duration::from_secs(5);
/// Interval between two checks of an engine that has its model.
const LOADED_CHECK_INTERVAL: Duration = Duration::from_secs(60);
/// Time that an engine may take to load a model before the order is sent again.
const LOAD_TIMEOUT: Duration = Duration::from_secs(120);
/// Maximum number of engines queried concurrently.
const CONCURRENCY: usize = 16;
/// Maximum number of engines queried in one round.
const ROUND_LIMIT: usize = 64;

/// An engine and the model of its pool.
#[derive(Clone, Debug)]
struct Assignment {
    endpoint: Endpoint,
    model: ModelId,
}

/// Checks of an engine and orders sent to it.
#[derive(Clone, Copy, Debug)]
struct Progress {
    /// Earliest time of the next query for the loaded models.
    next_check: Instant,
    /// When the engine last accepted an order; `None` if it has accepted none.
    ordered_at: Option<Instant>,
    /// Number of orders that the engine has accepted; part of the next order's id.
    orders: u64,
}

/// Progress of engines in one epoch of the lease, and the orders sent to them.
#[derive(Debug)]
pub struct Loader {
    epoch: Epoch,
    engines: BTreeMap<EndpointId, Progress>,
}

/// Takes a step per interval while this process holds the lease, until the task is aborted.
pub async fn run(context: Context) {
    let mut loader: Option<Loader> = None;
    loop {
        sleep(jittered(INTERVAL)).await;
        let Some(epoch) = context.duty.tenure.epoch() else {
            loader = None;
            continue;
        };
        let current = loader.take().filter(|loader| loader.epoch == epoch);
        let loader = loader.insert(current.unwrap_or_else(|| Loader::new(epoch)));
        loader.step(&context).await;
    }
}

impl Loader {
    /// Creates a loader for a new epoch; every engine is due for its first check.
    pub fn new(epoch: Epoch) -> Self {
        Self {
            epoch,
            engines: BTreeMap::new(),
        }
    }

    /// Queries the engines that are due, and orders those that lack their model to load it.
    pub async fn step(&mut self, context: &Context) {
        let due = self.due(context);
        let lacking: Vec<Option<Assignment>> = stream::iter(due)
            .map(|assignment| lacking(context, assignment))
            .buffer_unordered(CONCURRENCY)
            .collect()
            .await;
        for assignment in lacking.into_iter().flatten() {
            if let Err(err) = self.order(context, &assignment).await {
                tracing::debug!(event = "engine_order_failed", error = %err);
            }
        }
    }

    /// Returns the engines whose check is due. Their next check is scheduled as for an engine
    /// that has its model; an order brings it forward.
    fn due(&mut self, context: &Context) -> Vec<Assignment> {
        let now = Instant::now();
        let assignments = assignments(context);
        let ids: Vec<&EndpointId> = assignments
            .iter()
            .map(|assignment| &assignment.endpoint.id)
            .collect();
        self.engines.retain(|id, _| ids.contains(&id));
        let mut due = Vec::new();
        for assignment in assignments {
            let progress = self
                .engines
                .entry(assignment.endpoint.id.clone())
                .or_insert(Progress {
                    next_check: now,
                    ordered_at: None,
                    orders: 0,
                });
            if progress.next_check <= now && due.len() < ROUND_LIMIT {
                progress.next_check = now + LOADED_CHECK_INTERVAL;
                due.push(assignment);
            }
        }
        due
    }

    /// Records an order in a transaction that checks the lease, then sends it.
    async fn order(&mut self, context: &Context, assignment: &Assignment) -> Result<(), Failure> {
        let Some(progress) = self.engines.get_mut(&assignment.endpoint.id) else {
            return Ok(());
        };
        progress.next_check = Instant::now() + INTERVAL;
        if progress
            .ordered_at
            .is_some_and(|at| at.elapsed() < LOAD_TIMEOUT)
        {
            return Ok(());
        }
        let id = &assignment.endpoint.id;
        let order = Order {
            id: format!(
                "load/{}/{id}/{}/{}",
                self.epoch, assignment.model, progress.orders
            ),
            epoch: self.epoch,
            sender: context.host.id.clone(),
            action: Action::Load {
                model: assignment.model.clone(),
                version: VERSION.to_owned(),
            },
        };
        let transaction = Transaction {
            checks: Vec::new(),
            writes: vec![store::put(TABLE, id, &order)],
        };
        let recorded = commit(context, &transaction).await?;
        let response = send(context, assignment, &order, recorded.permit).await;
        let label = outcome(&response);
        count(&context.duty.metrics.engine_orders, label);
        tracing::info!(event = "engine_order", order = order.id, outcome = label);
        if let Ok(Ok(())) = response {
            progress.ordered_at = Some(Instant::now());
            progress.orders += 1;
        }
        Ok(())
    }
}

/// Returns the declared and ordered engines of pools with a model, without those that are leaving.
fn assignments(context: &Context) -> Vec<Assignment> {
    let snapshot = context.copy.snapshot();
    let leaving = context.endpoints.leaving();
    let ordered = context.endpoints.ordered().into_iter();
    let ordered = ordered.filter_map(|row| Endpoint::try_from(row).ok());
    let declared = snapshot.endpoints().cloned();
    let engines = declared.chain(ordered).filter(|endpoint| {
        endpoint.protocol == Protocol::Engine
            && !endpoint.leaving
            && !leaving.contains(&endpoint.id)
    });
    let assignment = |endpoint: Endpoint| {
        let model = snapshot.pool(&endpoint.pool)?.model.clone()?;
        Some(Assignment { endpoint, model })
    };
    engines.filter_map(assignment).collect()
}

/// Returns the assignment if the engine responds and lacks its model.
async fn lacking(context: &Context, assignment: Assignment) -> Option<Assignment> {
    let load = context
        .platform
        .engines
        .load(&assignment.endpoint)
        .await
        .ok()?;
    let is_loaded = load
        .models
        .iter()
        .any(|loaded| loaded.model == assignment.model);
    (!is_loaded).then_some(assignment)
}

async fn send(
    context: &Context,
    assignment: &Assignment,
    order: &Order,
    permit: Permit,
) -> Result<Result<(), Fenced>, Error> {
    let terms = context.settings.lease.terms();
    let deadline = terms.flight.min(permit.remaining(now()));
    let may_send = || permit.is_valid(now());
    context
        .duty
        .tenure
        .mark_in_flight(deadline + terms.flight + terms.idle);
    let engines = &context.platform.engines;
    engines
        .order(&assignment.endpoint, order, deadline, &may_send)
        .await
}

/// Returns the value of `outcome` in metrics and log lines.
fn outcome(response: &Result<Result<(), Fenced>, Error>) -> &'static str {
    match response {
        Ok(Ok(())) => "done",
        Ok(Err(_)) => "fenced",
        Err(Error::Unreached(_)) => "not_sent",
        Err(Error::Unknown(_)) => "unanswered",
        Err(Error::Refused { .. } | Error::Conflict(_)) => "refused",
    }
}

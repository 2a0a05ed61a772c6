//! Background tasks of the lease holder, and those that every host runs in support of it.
//!
//! - [`lease`] acquires and renews the lease; [`tenure`] permits single actions under it.
//! - [`fleet`] sizes pools from the demand that every host reports ([`demand`]), and [`order`]
//!   records and sends the resulting endpoint orders. [`engine`] has engines load the models of
//!   their pools.
//! - [`usage`] writes the usage rows of the gates of this host ([`ledgers`]), and of lost hosts
//!   whose totals were mirrored here ([`mirror`]). [`window`] closes and freezes reporting
//!   windows, and [`report`] sends their reports.
//! - [`retention`] and [`claims`] delete rows that are no longer needed.

pub mod claims;
pub mod demand;
pub mod engine;
pub mod fleet;
pub mod lease;
pub mod ledgers;
pub mod metrics;
pub mod mirror;
pub mod order;
pub mod report;
pub mod retention;
pub mod source;
pub mod store;
pub mod tenure;
pub mod usage;
pub mod window;

use std::cell::Cell;
use std::rc::Rc;
use std::time::SystemTime;

use actix_rt::task::JoinHandle;
use agate_model::id::Window;

use crate::context::Context;

/// State shared by the background tasks and the handlers of calls from peers.
#[derive(Debug, Default)]
pub struct State {
    /// The lease, while this process is the holder; set by [`lease`].
    pub tenure: tenure::Tenure,
    /// Latest demand reported by each host.
    pub demand: demand::Reports,
    /// Usage totals of the gates of this host and of mirrored ones.
    pub ledgers: ledgers::Ledgers,
    /// Last window that this process knows to be reported, with all windows before it; `None`
    /// until it has read one that is.
    pub reported: Cell<Option<Window>>,
    /// Metrics of the tasks in this module.
    pub metrics: metrics::Metrics,
}

/// Handles of the running background tasks.
#[derive(Debug)]
pub struct Tasks {
    keeper: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
}

impl Tasks {
    /// Registers the metrics, installs the usage source of the API and starts all tasks.
    pub fn start(context: &Context) -> Self {
        context.duty.metrics.register(&context.metrics);
        *context.usage.borrow_mut() = Some(Rc::new(source::Store::new(context.clone())));
        let tasks = vec![
            actix_rt::spawn(demand::run(context.clone())),
            actix_rt::spawn(usage::run(context.clone())),
            actix_rt::spawn(mirror::run(context.clone())),
            actix_rt::spawn(fleet::run(context.clone())),
            actix_rt::spawn(engine::run(context.clone())),
            actix_rt::spawn(window::run(context.clone())),
            actix_rt::spawn(retention::run(context.clone())),
            actix_rt::spawn(claims::run(context.clone())),
        ];
        Self {
            keeper: actix_rt::spawn(lease::run(context.clone())),
            tasks,
        }
    }

    /// Aborts all tasks, then releases the lease and writes and mirrors the remaining usage.
    pub async fn close(self, context: &Context) {
        for task in self.tasks.into_iter().chain([self.keeper]) {
            task.abort();
            let _ = task.await;
        }
        lease::release(context).await;
        let now = SystemTime::now();
        usage::flush(context, now).await;
        mirror::flush(context, now).await;
    }
}

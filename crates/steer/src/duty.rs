//! Work of the holder of the lease, and the work of every host for it.
//!
//! - [`lease`] acquires and keeps the lease; [`seat`] gives leave for single actions.
//! - [`order`] sends endpoint orders, which [`fleet`] decides upon from the demand that
//!   every host reports ([`demand`]); [`engine`] has engines load their pools' models.
//! - [`usage`] writes the rows of usage of this host's gates ([`books`]), and of lost hosts whose
//!   totals were mirrored here ([`mirror`]); [`window`] closes windows and [`report`]
//!   sends their figures. [`retention`] and [`claims`] delete what is no longer needed.

pub mod books;
pub mod claims;
pub mod demand;
pub mod engine;
pub mod fleet;
pub mod lease;
pub mod metrics;
pub mod mirror;
pub mod order;
pub mod report;
pub mod retention;
pub mod seat;
pub mod source;
pub mod store;
pub mod usage;
pub mod window;

use std::cell::Cell;
use std::rc::Rc;
use std::time::SystemTime;

use actix_rt::task::JoinHandle;
use agate_model::id::Window;

use crate::context::Context;

/// State that calls of peers and tasks share.
#[derive(Debug, Default)]
pub struct State {
    /// The lease, if this process holds it.
    pub seat: seat::Seat,
    /// Demand that hosts have reported.
    pub demand: demand::Board,
    /// Usage of the gates of this host and of mirrored ones.
    pub books: books::Books,
    /// Windows up to this one are reported, as far as this process knows.
    pub reported: Cell<Option<Window>>,
    /// Counters and gauges.
    pub metrics: metrics::Metrics,
}

/// Running tasks.
#[derive(Debug)]
pub struct Duty {
    keeper: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
}

impl Duty {
    /// Starts all tasks.
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

    /// Ends all tasks, gives up the lease and writes the remaining usage.
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

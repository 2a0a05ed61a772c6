//! Usage totals and demand received from gates.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use agate_model::id::{AccountId, HostId, Incarnation, PoolId, Version, Window};
use agate_wire::platform::Figures;
use agate_wire::sync::{Demand, Pressure, Request, Usage};
use tokio::time::Instant;

/// One run of a gate.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Gate {
    /// Host.
    pub host: HostId,
    /// Run of the gate.
    pub incarnation: Incarnation,
}

/// What a total belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Counter {
    /// Run of the gate that counted.
    pub gate: Gate,
    /// Window.
    pub window: Window,
    /// Account.
    pub account: AccountId,
}

/// Last call of a gate.
#[derive(Clone, Debug)]
pub struct Call {
    /// When it came.
    pub at: Instant,
    /// Configuration version that the gate had in force.
    pub version: Version,
    /// Whether the gate shuts down.
    pub leaving: bool,
    /// Demand for each pool.
    pub demand: Vec<Demand>,
    /// Lowest tier still admitted for pools under pressure.
    pub pressure: Vec<Pressure>,
}

/// Arrivals for a pool since the last look.
pub type Arrivals = BTreeMap<PoolId, u64>;

/// Totals of all gates.
pub type Totals = BTreeMap<Counter, Figures>;

/// What gates have sent.
#[derive(Debug, Default)]
pub struct Inbox {
    totals: RefCell<Totals>,
    calls: RefCell<BTreeMap<Gate, Call>>,
    arrivals: RefCell<Arrivals>,
    /// Totals that changed since the last call of [`Inbox::take_changed`].
    changed: RefCell<Totals>,
    revision: Cell<u64>,
}

impl Inbox {
    /// Records a call at `now`.
    pub fn record(&self, request: Request, now: Instant) {
        let gate = Gate {
            host: request.host,
            incarnation: request.incarnation,
        };
        for usage in request.usage {
            self.count(&gate, usage);
        }
        for demand in &request.demand {
            let mut arrivals = self.arrivals.borrow_mut();
            *arrivals.entry(demand.pool.clone()).or_default() += demand.arrivals;
        }
        let call = Call {
            at: now,
            version: request.version,
            leaving: request.leaving,
            demand: request.demand,
            pressure: request.pressure,
        };
        self.calls.borrow_mut().insert(gate, call);
    }

    /// Totals only grow within a run, so the larger one is the later one.
    fn count(&self, gate: &Gate, usage: Usage) {
        let counter = Counter {
            gate: gate.clone(),
            window: usage.window,
            account: usage.account,
        };
        let mut totals = self.totals.borrow_mut();
        let total = totals.entry(counter.clone()).or_default();
        if usage.figures != *total && usage.figures.requests >= total.requests {
            *total = usage.figures;
            self.changed.borrow_mut().insert(counter, usage.figures);
            self.revision.set(self.revision.get() + 1);
        }
    }

    /// Grows with every change of the totals.
    pub fn revision(&self) -> u64 {
        self.revision.get()
    }

    /// All totals.
    pub fn totals(&self) -> Totals {
        self.totals.borrow().clone()
    }

    /// Totals that changed since the last call of this function.
    pub fn take_changed(&self) -> Totals {
        self.changed.take()
    }

    /// Forgets totals of windows below `window`.
    pub fn forget(&self, window: Window) {
        self.totals.borrow_mut().retain(|it, _| it.window >= window);
    }

    /// The last call of each gate.
    pub fn calls(&self) -> BTreeMap<Gate, Call> {
        self.calls.borrow().clone()
    }

    /// Version that the gate of `host` last had in force; 0 if none has called.
    pub fn gate_version(&self, host: &str) -> Version {
        let calls = self.calls.borrow();
        let own = calls.iter().filter(|(gate, _)| gate.host == host);
        let last = own.max_by_key(|(_, call)| call.at);
        last.map_or(0, |(_, call)| call.version)
    }

    /// Forgets calls before `since`.
    pub fn forget_calls(&self, since: Instant) {
        self.calls.borrow_mut().retain(|_, call| call.at >= since);
    }

    /// Arrivals since the last call of this function.
    pub fn take_arrivals(&self) -> Arrivals {
        self.arrivals.take()
    }
}

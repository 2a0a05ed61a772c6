//! Usage totals, demand and pressure received from gates.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use agate_model::id::{AccountId, HostId, Incarnation, PoolId, Version, Window};
use agate_wire::platform::Counters;
use agate_wire::sync::{Demand, Pressure, Request, Usage};
use tokio::time::Instant;

/// One process incarnation of a gate.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Gate {
    /// Host on which the gate runs.
    pub host: HostId,
    /// Incarnation of the gate's process.
    pub incarnation: Incarnation,
}

/// Key of a usage total.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Counter {
    /// Gate incarnation that counted the usage.
    pub gate: Gate,
    /// Start of the reporting window.
    pub window: Window,
    /// Client account whose usage was counted.
    pub account: AccountId,
}

/// Contents of the last sync call of a gate, without its usage.
#[derive(Clone, Debug)]
pub struct Call {
    /// Time at which the call was received.
    pub at: Instant,
    /// Configuration version that the gate had in force.
    pub version: Version,
    /// Whether the gate reported that it shuts down.
    pub leaving: bool,
    /// Demand for each pool, as of this call.
    pub demand: Vec<Demand>,
    /// Lowest tier still admitted for pools under pressure.
    pub pressure: Vec<Pressure>,
}

/// Number of requests that arrived for each pool since [`Inbox::take_arrivals`] was last called.
pub type Arrivals = BTreeMap<PoolId, u64>;

/// Usage totals by gate incarnation, window and account.
pub type Totals = BTreeMap<Counter, Counters>;

/// Latest state received from each gate incarnation.
#[derive(Debug, Default)]
pub struct Inbox {
    totals: RefCell<Totals>,
    calls: RefCell<BTreeMap<Gate, Call>>,
    arrivals: RefCell<Arrivals>,
    /// Totals that changed since [`Inbox::take_changed`] was last called.
    changed: RefCell<Totals>,
    revision: Cell<u64>,
}

impl Inbox {
    /// Records a sync call received at `now`: its usage totals, arrivals, demand and pressure.
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

    /// Records a total unless it is older than the known one. Totals only grow within an
    /// incarnation, so that the larger one is the later one.
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

    /// Returns a number that grows with every change of the totals.
    pub fn revision(&self) -> u64 {
        self.revision.get()
    }

    /// Returns all totals that have not been forgotten.
    pub fn totals(&self) -> Totals {
        self.totals.borrow().clone()
    }

    /// Returns the totals that changed since the last call of this function.
    pub fn take_changed(&self) -> Totals {
        self.changed.take()
    }

    /// Forgets totals of windows below `window`.
    pub fn forget(&self, window: Window) {
        self.totals
            .borrow_mut()
            .retain(|counter, _| counter.window >= window);
    }

    /// Returns the last call of each gate incarnation.
    pub fn calls(&self) -> BTreeMap<Gate, Call> {
        self.calls.borrow().clone()
    }

    /// Returns the version that the gate of `host` last had in force; 0 if none has called.
    pub fn gate_version(&self, host: &str) -> Version {
        let calls = self.calls.borrow();
        let own = calls.iter().filter(|(gate, _)| gate.host == host);
        let last = own.max_by_key(|(_, call)| call.at);
        last.map_or(0, |(_, call)| call.version)
    }

    /// Forgets gates whose last call came before `since`.
    pub fn forget_calls(&self, since: Instant) {
        self.calls.borrow_mut().retain(|_, call| call.at >= since);
    }

    /// Returns the arrivals for each pool since the last call of this function.
    pub fn take_arrivals(&self) -> Arrivals {
        self.arrivals.take()
    }
}

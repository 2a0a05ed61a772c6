//! What was seen in a run. Times count from its start.

use std::collections::BTreeMap;
use std::time::Duration;

/// What a request allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// May run more than once.
    Allowed,
    /// May run once at most.
    Forbidden,
}

/// How an answer ended as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// Framed as complete, with this status.
    Whole {
        /// Status.
        status: u16,
        /// Whether it bears an endpoint's signature.
        signed: bool,
        /// Whether its contents are those of this request, all of them.
        right: bool,
    },
    /// The connection ended before a complete answer.
    Broken {
        /// Whether a byte of the answer had come.
        begun: bool,
    },
    /// Nothing came in the caller's time.
    Silence,
    /// No connection was made.
    Unconnected,
    /// The caller left.
    Left,
}

/// One request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Identity.
    pub id: String,
    /// Host that was called.
    pub host: usize,
    /// Start of the host's process, a number that rises.
    pub boot: u64,
    /// What it allows.
    pub repeat: Repeat,
    /// Key that it bore.
    pub key: String,
    /// Route.
    pub route: String,
    /// When its last byte was sent.
    pub sent: Duration,
    /// When the caller knew its end.
    pub ended: Duration,
    /// How it ended.
    pub end: End,
}

/// One run of a request at an endpoint.
#[derive(Clone, Debug)]
pub struct Ran {
    /// Identity of the request.
    pub id: String,
    /// Endpoint.
    pub endpoint: String,
    /// Account that it was run for.
    pub account: Option<String>,
    /// Whether the caller's key came with it.
    pub saw_key: bool,
    /// Begin.
    pub at: Duration,
}

/// A change of the configuration that the store has acknowledged.
#[derive(Clone, Debug)]
pub struct Change {
    /// When it was acknowledged.
    pub at: Duration,
    /// Keys that hold from now on, with their accounts.
    pub keys: BTreeMap<String, String>,
    /// Routes that exist from now on.
    pub routes: Vec<String>,
}

/// A call of whoever holds the lease.
#[derive(Clone, Debug)]
pub struct Call {
    /// Arrival.
    pub at: Duration,
    /// Host that made it.
    pub holder: String,
    /// Fencing number.
    pub epoch: u64,
    /// Window and figures, if it was a report.
    pub report: Option<(u64, BTreeMap<String, u64>)>,
}

/// A time in which a host was disturbed.
#[derive(Clone, Copy, Debug)]
pub struct Disturbance {
    /// Host; `None` for all.
    pub host: Option<usize>,
    /// Begin.
    pub from: Duration,
    /// End.
    pub until: Duration,
    /// Whether it was only an orderly stop.
    pub planned: bool,
}

/// What one host used.
#[derive(Clone, Copy, Debug, Default)]
pub struct Use {
    /// Open descriptors.
    pub descriptors: usize,
    /// Resident memory in MiB.
    pub memory: usize,
}

/// All that was seen.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// Requests of callers.
    pub asked: Vec<Asked>,
    /// Runs at endpoints.
    pub ran: Vec<Ran>,
    /// Changes of the configuration, the first one included.
    pub changes: Vec<Change>,
    /// Calls of holders.
    pub calls: Vec<Call>,
    /// When hosts were disturbed.
    pub disturbances: Vec<Disturbance>,
    /// When endpoints were disturbed.
    pub endpoint_disturbances: Vec<(Duration, Duration)>,
    /// Requests after the last fault: served and asked, by host.
    pub recovered: Vec<(usize, usize)>,
    /// Processes that ended by themselves, with their host.
    pub exits: Vec<(usize, Duration)>,
    /// What each host used at the end, at rest.
    pub usage: Vec<Use>,
}

impl Ledger {
    /// Whether a host was without any disturbance between two times.
    pub fn is_calm(&self, host: usize, from: Duration, until: Duration) -> bool {
        !self.is_touched(host, from, until, |_| true)
    }

    /// Whether orderly stops were all that disturbed a host between two times.
    pub fn is_planned_only(&self, host: usize, from: Duration, until: Duration) -> bool {
        !self.is_touched(host, from, until, |it| !it.planned)
    }

    fn is_touched(
        &self,
        host: usize,
        from: Duration,
        until: Duration,
        counts: impl Fn(&Disturbance) -> bool,
    ) -> bool {
        self.disturbances.iter().any(|it| {
            let is_here = it.host.is_none_or(|of| of == host);
            is_here && it.from <= until && it.until >= from && counts(it)
        })
    }

    /// Whether an endpoint was disturbed between two times.
    pub fn are_endpoints_calm(&self, from: Duration, until: Duration) -> bool {
        let touched = |it: &(Duration, Duration)| it.0 <= until && it.1 >= from;
        !self.endpoint_disturbances.iter().any(touched)
    }
}

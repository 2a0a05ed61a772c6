//! Observations of one soak run: requests, executions, configuration changes and lease holders.
//!
//! All times are offsets from the start of the run.

use std::collections::BTreeMap;
use std::time::Duration;

/// Tells whether a request may be retried, which follows from its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// The request is safe and may be executed more than once.
    Allowed,
    /// The request is unsafe and may be executed at most once.
    Forbidden,
}

/// Outcome of a request as its caller observed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// The response was complete by its framing.
    Whole {
        /// HTTP status code of the response.
        status: u16,
        /// Whether the response carries an endpoint's stamp; responses of the host itself do not.
        signed: bool,
        /// Whether the response belongs to this request and, with status 200, has the whole
        /// expected body.
        right: bool,
    },
    /// The connection closed before the response was complete.
    Broken {
        /// Whether at least one byte of the response had arrived.
        begun: bool,
    },
    /// No complete response arrived within the caller's timeout.
    Silence,
    /// No connection to the host could be established.
    Unconnected,
    /// The caller closed the connection before the response was complete.
    Left,
}

/// One request with its outcome, as its caller observed it.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Request id, unique within the run.
    pub id: String,
    /// Index of the host that was called.
    pub host: usize,
    /// Incarnation of the host's process, which grows by one with each start.
    pub boot: u64,
    /// Whether the request may be retried.
    pub repeat: Retry,
    /// API key that the request carried; `None` if it carried none.
    pub key: Option<String>,
    /// Name of the route that the request was sent to.
    pub route: String,
    /// Time at which the last byte of the request was written.
    pub sent: Duration,
    /// Time at which the caller observed the outcome.
    pub ended: Duration,
    /// Outcome that the caller observed.
    pub end: End,
}

/// One execution of a request at an endpoint.
#[derive(Clone, Debug)]
pub struct Ran {
    /// Id of the request that was executed.
    pub id: String,
    /// Id of the endpoint that executed the request.
    pub endpoint: String,
    /// Client account that the host named to the endpoint; `None` if it named none.
    pub account: Option<String>,
    /// Whether the caller's `authorization` header reached the endpoint.
    pub saw_key: bool,
    /// Time at which the endpoint started the execution.
    pub at: Duration,
}

/// A request that reached an endpoint, whether it was executed or refused.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Id of the request.
    pub id: String,
    /// Id of the endpoint.
    pub endpoint: String,
    /// Time at which it arrived.
    pub at: Duration,
}

/// What an endpoint asks for in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    /// It is leaving and wants no further request.
    Leave,
    /// It wants no request for this time.
    Pause(Duration),
    /// It takes this many requests in ten seconds from all hosts together.
    Limit(u32),
    /// It names no limit any more.
    NoLimit,
}

/// A response in which an endpoint asked for something.
#[derive(Clone, Debug)]
pub struct Notice {
    /// Id of the request that the response belongs to.
    pub id: String,
    /// Id of the endpoint.
    pub endpoint: String,
    /// Time at which the response was sent.
    pub at: Duration,
    /// What the endpoint asked for.
    pub ask: Ask,
}

/// A configuration that the store has acknowledged.
#[derive(Clone, Debug)]
pub struct Change {
    /// Time at which the store acknowledged the configuration.
    pub at: Duration,
    /// All keys that are valid from this change on, each with its client account.
    pub keys: BTreeMap<String, String>,
    /// Names of all routes that exist from this change on.
    pub routes: Vec<String>,
    /// Names of the routes among them that need no key.
    pub open: Vec<String>,
}

impl Change {
    /// Returns whether the configuration has the route and the key of a request, or needs no key there.
    pub fn allows(&self, request: &Asked) -> bool {
        self.account(request).is_some() && self.routes.contains(&request.route)
    }

    /// Returns the client account of a request, which is `None` without a key. Returns `None` if the key
    /// is unknown, or missing where one is needed.
    pub fn account(&self, request: &Asked) -> Option<Option<&String>> {
        match &request.key {
            Some(key) => self.keys.get(key).map(Some),
            None => self.open.contains(&request.route).then_some(None),
        }
    }
}

/// A call of a lease holder to the receiver of usage reports and orders.
#[derive(Clone, Debug)]
pub struct Call {
    /// Time at which the call arrived.
    pub at: Duration,
    /// Name of the host that made the call as lease holder.
    pub holder: String,
    /// Fencing token of the holder's lease.
    pub epoch: u64,
    /// Window and usage counters by account; `None` if the call was not a usage report.
    pub report: Option<(u64, BTreeMap<String, u64>)>,
}

/// What kind of fault disturbed a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// An orderly stop and nothing else.
    Stop,
    /// A fault of the store, or of a host's link to it, and nothing else.
    Store,
    /// Any other fault.
    Other,
}

/// An interval during which faults disturbed a host.
#[derive(Clone, Copy, Debug)]
pub struct Disturbance {
    /// Index of the disturbed host; `None` if all hosts were disturbed.
    pub host: Option<usize>,
    /// Time at which the disturbance started.
    pub from: Duration,
    /// Time from which the host counts as undisturbed again.
    pub until: Duration,
    /// Kind of the fault.
    pub cause: Cause,
}

/// The announcement of an endpoint that it leaves, acknowledged by the store.
#[derive(Clone, Debug)]
pub struct Leaving {
    /// Id of the endpoint.
    pub endpoint: String,
    /// Time of the acknowledgement.
    pub at: Duration,
}

/// The end of an endpoint that had announced its drain.
#[derive(Clone, Debug)]
pub struct Departure {
    /// Id of the endpoint.
    pub endpoint: String,
    /// Time at which it closed its connections.
    pub at: Duration,
}

/// Resources that the process of one host occupied.
#[derive(Clone, Copy, Debug, Default)]
pub struct Use {
    /// Number of open file descriptors.
    pub descriptors: usize,
    /// Resident memory, in MiB.
    pub memory: usize,
}

/// All observations of one run, in the order in which they were made.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// Requests of callers with their outcomes.
    pub requests: Vec<Asked>,
    /// Executions of requests at endpoints.
    pub executions: Vec<Ran>,
    /// Requests that reached endpoints.
    pub arrivals: Vec<Arrival>,
    /// Responses in which endpoints asked for something.
    pub notices: Vec<Notice>,
    /// Acknowledged configurations, including the initial one.
    pub changes: Vec<Change>,
    /// Calls of lease holders to the receiver.
    pub calls: Vec<Call>,
    /// Intervals during which hosts were disturbed.
    pub disturbances: Vec<Disturbance>,
    /// Intervals, as start and end, during which endpoints were disturbed.
    pub endpoint_disturbances: Vec<(Duration, Duration)>,
    /// Intervals, as start and end, in which the run itself did not proceed, and so its endpoints did not.
    pub stalls: Vec<(Duration, Duration)>,
    /// Endpoints that announced in the store that they leave.
    pub leavings: Vec<Leaving>,
    /// Ends of endpoints that had announced their drain.
    pub departures: Vec<Departure>,
    /// Probes after the last fault, by host: number of served and of sent requests.
    pub probes: Vec<(usize, usize)>,
    /// Host index and time of each process exit that the run did not request.
    pub unexpected_exits: Vec<(usize, Duration)>,
    /// Resources of each host at the end of the run, when it is idle.
    pub usage: Vec<Use>,
}

impl Ledger {
    /// Returns whether no disturbance of the host overlaps the interval.
    pub fn is_undisturbed(&self, host: usize, from: Duration, until: Duration) -> bool {
        !self.is_disturbed(host, from, until, |_| true)
    }

    /// Returns whether only orderly stops, or nothing, disturbed the host in the interval.
    pub fn has_only_planned_stops(&self, host: usize, from: Duration, until: Duration) -> bool {
        self.has_only(host, from, until, &[Cause::Stop])
    }

    /// Returns whether only disturbances of these causes, or nothing, disturbed the host in the interval.
    pub fn has_only(&self, host: usize, from: Duration, until: Duration, causes: &[Cause]) -> bool {
        !self.is_disturbed(host, from, until, |disturbance| {
            !causes.contains(&disturbance.cause)
        })
    }

    fn is_disturbed(
        &self,
        host: usize,
        from: Duration,
        until: Duration,
        is_relevant: impl Fn(&Disturbance) -> bool,
    ) -> bool {
        self.disturbances.iter().any(|disturbance| {
            let affects_host = disturbance.host.is_none_or(|disturbed| disturbed == host);
            affects_host
                && disturbance.from <= until
                && disturbance.until >= from
                && is_relevant(disturbance)
        })
    }

    /// Returns whether the run proceeded all through the interval.
    pub fn is_steady(&self, from: Duration, until: Duration) -> bool {
        let overlaps = |stall: &(Duration, Duration)| stall.0 <= until && stall.1 >= from;
        !self.stalls.iter().any(overlaps)
    }

    /// Returns whether no disturbance of an endpoint overlaps the interval.
    pub fn are_endpoints_undisturbed(&self, from: Duration, until: Duration) -> bool {
        let overlaps = |interval: &(Duration, Duration)| interval.0 <= until && interval.1 >= from;
        !self.endpoint_disturbances.iter().any(overlaps)
    }
}

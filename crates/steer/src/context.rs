//! State shared by the tasks of the control process. All of it is on one thread.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use agate_model::host::Host;
use agate_model::id::{Epoch, HostId};

use crate::api::usage::Source;
use crate::config::copy::Copy;
use crate::duty;
use crate::endpoints::States;
use crate::gossip::rumours::Rumours;
use crate::inbox::Inbox;
use crate::limits::Limits;
use crate::member::Members;
use crate::metrics::Metrics;
use crate::platform::Platform;
use crate::pressure::Floors;
use crate::roster::Roster;
use crate::rpc::client::Peers;
use crate::settings::Settings;

/// The lease as last read by this host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Host that holds the lease.
    pub holder: HostId,
    /// Fencing epoch of the holder.
    pub epoch: Epoch,
}

/// Handles of the shared state; a clone shares the same state.
#[derive(Clone)]
pub struct Context {
    /// Settings of this process, fixed after its start.
    pub settings: Rc<Settings>,
    /// Id, zone, addresses and process incarnation of this host.
    pub host: Rc<Host>,
    /// Handles of the platform's interfaces.
    pub platform: Platform,
    /// Configuration; `copy.snapshot()` is the version in force.
    pub copy: Rc<Copy>,
    /// All known entry hosts.
    pub members: Rc<Members>,
    /// Recent pressure on pools, from gates and gossip.
    pub floors: Rc<Floors>,
    /// Limits that endpoints have named, from gates and gossip.
    pub limits: Rc<Limits>,
    /// Newest known lists of the platform.
    pub roster: Rc<Roster>,
    /// Client for calls to peers.
    pub peers: Rc<Peers>,
    /// Ordered and leaving endpoints, as sent to gates.
    pub endpoints: Rc<States>,
    /// Usage totals and demand received from gates.
    pub inbox: Rc<Inbox>,
    /// Rumours to pass on by gossip.
    pub rumours: Rc<Rumours>,
    /// Last known lease; `None` before the first. Set by the task that watches the lease.
    pub lease: Rc<RefCell<Option<Lease>>>,
    /// Source of the usage of all hosts; without it the API shows what this host received.
    pub usage: Rc<RefCell<Option<Rc<dyn Source>>>>,
    /// State of the duties, which the lease holder performs.
    pub duty: Rc<duty::State>,
    /// Whether this host shuts down; never reset.
    pub leaving: Rc<Cell<bool>>,
    /// Metrics served at `/metrics`.
    pub metrics: Rc<Metrics>,
}

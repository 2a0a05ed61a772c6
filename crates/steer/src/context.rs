//! What the tasks of the control process share. Everything lives on one thread.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use agate_model::host::Host;
use agate_model::id::{Epoch, HostId};

use crate::api::usage::Source;
use crate::config::copy::Copy;
use crate::duty;
use crate::endpoints::Board;
use crate::gossip::rumours::Rumours;
use crate::inbox::Inbox;
use crate::member::Members;
use crate::metrics::Metrics;
use crate::platform::Platform;
use crate::roster::Roster;
use crate::rpc::client::Peers;
use crate::settings::Settings;

/// Holder of the lease, as this host knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Host that holds it.
    pub holder: HostId,
    /// Fencing number.
    pub epoch: Epoch,
}

/// Shared handles.
#[derive(Clone)]
pub struct Context {
    /// Settings.
    pub settings: Rc<Settings>,
    /// This host and run.
    pub host: Rc<Host>,
    /// The platform.
    pub platform: Platform,
    /// Configuration; `copy.snapshot()` is the version in force.
    pub copy: Rc<Copy>,
    /// Entry hosts.
    pub members: Rc<Members>,
    /// The platform's lists.
    pub roster: Rc<Roster>,
    /// Calls to peers.
    pub peers: Rc<Peers>,
    /// States of endpoints, as handed to gates.
    pub endpoints: Rc<Board>,
    /// Usage totals and demand received from gates.
    pub inbox: Rc<Inbox>,
    /// Rumours that are passed on by gossip.
    pub rumours: Rc<Rumours>,
    /// Holder of the lease; set by the task that watches the lease.
    pub lease: Rc<RefCell<Option<Lease>>>,
    /// Reader of the usage of all hosts; without it the API shows what this host received.
    pub usage: Rc<RefCell<Option<Rc<dyn Source>>>>,
    /// State of the lease holder's work.
    pub duty: Rc<duty::State>,
    /// Set once this host shuts down.
    pub leaving: Rc<Cell<bool>>,
    /// Counters and gauges.
    pub metrics: Rc<Metrics>,
}

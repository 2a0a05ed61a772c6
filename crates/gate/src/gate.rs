//! State shared by all tasks of a gate.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::SystemTime;

use agate_model::id::Incarnation;
use agate_model::key::Digest;
use agate_model::refusal::Reason;
use agate_store::interface::Tables;
use agate_wire::platform::Counters;
use tokio::time::Instant;

use crate::activity::Activity;
use crate::admission::{Admission, FairQueue};
use crate::budget::Budgets;
use crate::choice::{Balancer, Choice};
use crate::claim::Claims;
use crate::config::{Config, View};
use crate::estimate::Estimates;
use crate::forward::client::Client;
use crate::hedge::Delays;
use crate::load;
use crate::metrics::Metrics;
use crate::refusal::Denial;
use crate::settings::Settings;
use crate::usage::Ledger;
use crate::work::{Caller, Work};

/// Length in bytes of request ids and incarnations, before they are written in hexadecimal.
const ID_BYTES: usize = 16;

/// State of one process incarnation of a gate. All of it lives on one thread.
pub struct Gate {
    /// Settings as read at startup. Only the certificate files are read again later.
    pub settings: Settings,
    /// Random identity of this process incarnation, under which usage and claims are recorded.
    pub incarnation: Incarnation,
    /// Configuration in force; empty until a control process has responded.
    pub config: RefCell<Config>,
    /// Counters, gauges and histograms for the metrics endpoint.
    pub metrics: Metrics,
    /// Number of running requests and phase of the shutdown.
    pub activity: Activity,
    /// Queues requests and decides which one starts next.
    pub admission: Rc<dyn Admission>,
    /// Budgets that limit retries and hedges.
    pub budgets: Budgets,
    /// Chooses the endpoint of each attempt and counts requests in flight.
    pub choice: Rc<dyn Choice>,
    /// Estimates the cost of requests from the usage of earlier ones.
    pub estimates: RefCell<Estimates>,
    /// Delays after which requests are hedged.
    pub hedges: Delays,
    /// Engines that were used recently, whose load a background task fetches.
    pub load: load::ActiveEngines,
    /// HTTP client for endpoints, with its connection pool.
    pub client: Client,
    /// Store for claims of idempotency keys; `None` if the settings name no platform.
    pub tables: Option<Rc<dyn Tables>>,
    /// Usage counters of this incarnation by reporting window and account.
    pub usage: RefCell<Ledger>,
    /// Number of open connections of callers, including those that are refused.
    pub connections: Cell<usize>,
}

impl Gate {
    /// Creates a gate without configuration. It serves no keyed work until the first sync.
    pub fn new(settings: Settings, tables: Option<Rc<dyn Tables>>) -> Rc<Self> {
        let client = Client::new(settings.limits.connect_timeout);
        let choice: Rc<dyn Choice> = Rc::new(Balancer::new(settings.zone.clone()));
        Rc::new(Self {
            settings,
            incarnation: random_id(),
            config: RefCell::default(),
            metrics: Metrics::default(),
            activity: Activity::default(),
            admission: Rc::new(FairQueue::new(choice.clone())),
            budgets: Budgets::default(),
            choice,
            estimates: RefCell::default(),
            hedges: Delays::default(),
            load: load::ActiveEngines::default(),
            client,
            tables,
            usage: RefCell::default(),
            connections: Cell::new(0),
        })
    }

    /// Returns the control processes in the order in which they are called: those of the settings,
    /// where the own host's is first, and then peers.
    pub fn control_processes(&self) -> Vec<SocketAddr> {
        let mut addresses = self.settings.steer.clone();
        for peer in self.config.borrow().peers() {
            if !addresses.contains(peer) {
                addresses.push(*peer);
            }
        }
        addresses
    }

    /// Returns the resources in force.
    pub fn view(&self) -> Rc<View> {
        self.config.borrow().view()
    }

    /// Returns whether the evidence for the configuration is fresh enough to serve keyed work.
    pub fn is_current(&self) -> bool {
        let config = self.config.borrow();
        config.is_current(Instant::now(), self.settings.freshness)
    }

    /// Returns a handle for the claims of this incarnation; `None` without a store.
    pub fn claims(&self) -> Option<Claims> {
        let tables = self.tables.clone()?;
        let host = self.settings.host.clone();
        Some(Claims::new(tables, host, self.incarnation.clone()))
    }

    /// Returns whether `host` is a known entry host. Every host counts as live while no entry hosts
    /// are known.
    pub fn is_live(&self, host: &str) -> bool {
        let config = self.config.borrow();
        config.hosts().is_empty() || config.hosts().iter().any(|entry| entry.host == host)
    }

    /// Returns the key's account. Denies keys that are unknown, withdrawn, expired or without an
    /// account, and all keys while the configuration is not current.
    pub fn authorize(&self, digest: &Digest) -> Result<Caller, Denial> {
        if !self.is_current() {
            let message = "this host can't show that its configuration is current";
            return Err(Denial::new(Reason::ConfigStale, message));
        }
        let view = self.view();
        let invalid = || {
            Denial::new(
                Reason::KeyInvalid,
                "the key is unknown, withdrawn or expired",
            )
        };
        let key = view.snapshot.key(digest).ok_or_else(invalid)?;
        if key.is_expired(SystemTime::now()) || view.snapshot.account(&key.account).is_none() {
            return Err(invalid());
        }
        Ok(Caller {
            key: key.id.clone(),
            digest: *digest,
            account: key.account.clone(),
        })
    }

    /// Checks the key and the deadline of a request again before an attempt.
    pub fn recheck(&self, work: &Work) -> Result<(), Denial> {
        self.recheck_key(work)?;
        if work.remaining(Instant::now()).is_zero() {
            let message = "the deadline passed before the request could be sent";
            return Err(Denial::new(Reason::DeadlinePassed, message));
        }
        Ok(())
    }

    /// Checks again that the key of a request is valid and belongs to the same account. Requests
    /// without a key pass.
    pub fn recheck_key(&self, work: &Work) -> Result<(), Denial> {
        let Some(caller) = &work.caller else {
            return Ok(());
        };
        let authorized = self.authorize(&caller.digest)?;
        if authorized.account != caller.account {
            return Err(Denial::new(Reason::KeyInvalid, "the key has changed hands"));
        }
        Ok(())
    }

    /// Adds the usage of a request to its account's counters. Requests without an account count
    /// nowhere.
    pub fn record_usage(&self, work: &Work, counters: Counters) {
        let Some(account) = work.account() else {
            return;
        };
        // Keyed work is only served with a configuration, which always comes with a window.
        let window = self.config.borrow().window().unwrap_or_default();
        self.usage.borrow_mut().add(window, account, counters);
    }
}

/// Returns a random id of 16 bytes, in hexadecimal.
pub fn random_id() -> String {
    let bytes: [u8; ID_BYTES] = rand::random();
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

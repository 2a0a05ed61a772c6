//! State shared by all tasks of a gate.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::SystemTime;

use agate_model::id::Incarnation;
use agate_model::key::Digest;
use agate_model::refusal::Reason;
use agate_store::interface::Tables;
use agate_wire::platform::Figures;
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

const ID_BYTES: usize = 16;

/// One run of a gate.
pub struct Gate {
    /// Settings.
    pub settings: Settings,
    /// Identity of this run.
    pub incarnation: Incarnation,
    /// Configuration in force.
    pub config: RefCell<Config>,
    /// Metrics.
    pub metrics: Metrics,
    /// Running requests and phase.
    pub activity: Activity,
    /// Decides which request starts when.
    pub admission: Rc<dyn Admission>,
    /// Retry budgets.
    pub budgets: Budgets,
    /// Chooses endpoints.
    pub choice: Rc<dyn Choice>,
    /// Expected cost of requests.
    pub estimates: RefCell<Estimates>,
    /// When calls are hedged.
    pub hedges: Delays,
    /// Engines in use.
    pub load: load::ActiveEngines,
    /// Connections to endpoints.
    pub client: Client,
    /// Store for claims.
    pub tables: Option<Rc<dyn Tables>>,
    /// Usage of this run.
    pub usage: RefCell<Ledger>,
    /// Connections of callers.
    pub connections: Cell<usize>,
}

impl Gate {
    /// A gate that knows nothing yet.
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

    /// Resources in force.
    pub fn view(&self) -> Rc<View> {
        self.config.borrow().view()
    }

    /// Whether keyed work may be served.
    pub fn is_current(&self) -> bool {
        let config = self.config.borrow();
        config.is_current(Instant::now(), self.settings.freshness)
    }

    /// Claims of this run; `None` without a store.
    pub fn claims(&self) -> Option<Claims> {
        let tables = self.tables.clone()?;
        let host = self.settings.host.clone();
        Some(Claims::new(tables, host, self.incarnation.clone()))
    }

    /// Whether an entry host is known to exist, or nothing is known of entry hosts.
    pub fn is_live(&self, host: &str) -> bool {
        let config = self.config.borrow();
        config.hosts().is_empty() || config.hosts().iter().any(|it| it.host == host)
    }

    /// Finds the account of a key, or says why it has none.
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

    /// Checks a request again before an attempt: its key, and its deadline.
    pub fn recheck(&self, work: &Work) -> Result<(), Denial> {
        self.recheck_key(work)?;
        if work.remaining(Instant::now()).is_zero() {
            let message = "the deadline passed before the request could be sent";
            return Err(Denial::new(Reason::DeadlinePassed, message));
        }
        Ok(())
    }

    /// Checks again that the key of a request is valid for the same account.
    pub fn recheck_key(&self, work: &Work) -> Result<(), Denial> {
        let Some(caller) = &work.caller else {
            return Ok(());
        };
        let current = self.authorize(&caller.digest)?;
        if current.account != caller.account {
            return Err(Denial::new(Reason::KeyInvalid, "the key has changed hands"));
        }
        Ok(())
    }

    /// Counts what a caller has received.
    pub fn record_usage(&self, work: &Work, figures: Figures) {
        let Some(account) = work.account() else {
            return;
        };
        // Keyed work runs only under a configuration, which came with a window.
        let window = self.config.borrow().window().unwrap_or_default();
        self.usage.borrow_mut().add(window, account, figures);
    }
}

/// A random identity, in hexadecimal.
pub fn random_id() -> String {
    let bytes: [u8; ID_BYTES] = rand::random();
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

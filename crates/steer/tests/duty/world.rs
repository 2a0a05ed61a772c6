//! Control processes without sockets, on an in-memory platform with faults.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use agate_fake::memory::{Fault, Memory};
use agate_model::endpoint::Endpoint;
use agate_settings::file;
use agate_steer::config::copy::Copy;
use agate_steer::context::Context;
use agate_steer::duty::lease::Keeper;
use agate_steer::endpoints::States;
use agate_steer::inbox::Inbox;
use agate_steer::member::Members;
use agate_steer::metrics::Metrics;
use agate_steer::platform::Platform;
use agate_steer::rpc::client::Peers;
use agate_steer::settings::Settings;
use agate_store::Error;
use agate_store::interface::{Engines, Hosts, Objects, Orders, Reports, ResponseFuture, Tables};
use agate_wire::engine::{self, Fenced, Load};
use agate_wire::order::{Action, Machine, Order, Receipt, State};
use agate_wire::peer::HostRow;
use agate_wire::platform::{Counters, Listing, Report};
use agate_wire::table::{Commit, Page, Row, Transaction};
use bytes::Bytes;
use tokio::time::{Instant, advance};

const CLUSTER_KEY: &str = "5ca1ab1e5ca1ab1e5ca1ab1e5ca1ab1e5ca1ab1e5ca1ab1e5ca1ab1e5ca1ab1e";

/// Fault of the calls to every platform interface but the tables.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Link {
    /// No fault.
    #[default]
    Up,
    /// Calls take effect, but their responses are lost.
    ResponseLost,
    /// Calls are refused with status 503 and take no effect.
    Busy,
    /// The sender is paused for this long after it has connected.
    Frozen(Duration),
}

/// In-memory platform, and what it has received.
#[derive(Default)]
pub(crate) struct World {
    pub(crate) memory: Memory,
    /// Whether commits take effect but lose their responses.
    pub(crate) lose_commit_responses: Cell<bool>,
    pub(crate) link: Cell<Link>,
    /// Existing endpoints, by the id of the order that started them.
    pub(crate) machines: RefCell<BTreeMap<String, Machine>>,
    /// Responses by order id; an order sent again gets the same one and has no further effect.
    receipts: RefCell<BTreeMap<String, Receipt>>,
    /// List of endpoints as callers see it, possibly out of date.
    listed: RefCell<Vec<Machine>>,
    listed_at: Cell<Option<Instant>>,
    /// Age at which the list is brought up to date; with `None` only `publish` changes it.
    pub(crate) list_lag: Cell<Option<Duration>>,
    /// Every order received, also those sent again.
    pub(crate) orders: RefCell<Vec<Order>>,
    /// Whether start orders are refused for lack of capacity.
    pub(crate) unavailable: Cell<bool>,
    /// Every report received, also those sent again.
    pub(crate) reports: RefCell<Vec<Report>>,
    /// Every order that an engine has received.
    pub(crate) engine_orders: RefCell<Vec<engine::Order>>,
}

impl World {
    pub(crate) fn new() -> Rc<Self> {
        tokio::time::pause();
        Rc::default()
    }

    pub(crate) fn set_down(&self, down: bool) {
        let fault = if down { Fault::Down } else { Fault::None };
        self.memory.fault.set(fault);
    }

    /// Brings the list of endpoints up to date.
    pub(crate) fn publish(&self) {
        *self.listed.borrow_mut() = self.machines.borrow().values().cloned().collect();
        self.listed_at.set(Some(Instant::now()));
    }

    fn list(&self) -> Vec<Machine> {
        let is_old = |lag| self.listed_at.get().is_none_or(|at| at.elapsed() >= lag);
        if self.list_lag.get().is_some_and(is_old) {
            self.publish();
        }
        self.listed.borrow().clone()
    }

    /// Returns the requests of all reports, each report counted once. Panics if a report was sent
    /// again with other counters.
    pub(crate) fn reported(&self) -> u64 {
        let mut counters: BTreeMap<(u64, String), Counters> = BTreeMap::new();
        for report in self.reports.borrow().iter() {
            let key = (report.window, report.account.clone());
            let first = counters.entry(key).or_insert(report.figures);
            assert_eq!(
                *first, report.figures,
                "a report was sent again with other counters"
            );
        }
        counters.values().map(|total| total.requests).sum()
    }

    async fn send<T>(
        &self,
        may_send: &dyn Fn() -> bool,
        effect: impl FnOnce() -> T,
    ) -> Result<T, Error> {
        if let Link::Frozen(pause) = self.link.get() {
            advance(pause).await;
        }
        if !may_send() {
            return Err(Error::Unreached(
                "the permit to send has expired".to_owned(),
            ));
        }
        if self.link.get() == Link::Busy {
            return Err(Error::Refused {
                status: 503,
                message: "busy".to_owned(),
            });
        }
        let response = effect();
        if self.link.get() == Link::ResponseLost {
            return Err(Error::Unknown("response lost".to_owned()));
        }
        Ok(response)
    }

    fn receive(&self, order: &Order) -> Receipt {
        self.orders.borrow_mut().push(order.clone());
        if let Some(receipt) = self.receipts.borrow().get(&order.id) {
            return receipt.clone();
        }
        let receipt = self.execute(order);
        if receipt != Receipt::Unavailable {
            let mut receipts = self.receipts.borrow_mut();
            receipts.insert(order.id.clone(), receipt.clone());
        }
        receipt
    }

    fn execute(&self, order: &Order) -> Receipt {
        let mut machines = self.machines.borrow_mut();
        match &order.action {
            Action::Start { .. } if self.unavailable.get() => Receipt::Unavailable,
            Action::Start { pool, zone, kind } => {
                let machine = Machine {
                    id: format!("machine/{}", order.id),
                    order: order.id.clone(),
                    pool: pool.clone(),
                    zone: zone.clone(),
                    kind: *kind,
                    address: "127.0.0.1:1".parse().expect("valid socket address"),
                    state: State::Running,
                    price_milli: 1000,
                };
                let endpoint = machine.id.clone();
                machines.insert(order.id.clone(), machine);
                Receipt::Done { endpoint }
            }
            Action::Stop { endpoint } => {
                machines.retain(|_, machine| machine.id != *endpoint);
                Receipt::Done {
                    endpoint: endpoint.clone(),
                }
            }
        }
    }
}

struct Handle(Rc<World>);

impl Tables for Handle {
    fn get<'a>(&'a self, table: &'a str, key: &'a str) -> ResponseFuture<'a, Option<Row>> {
        self.0.memory.get(table, key)
    }

    fn scan<'a>(
        &'a self,
        table: &'a str,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> ResponseFuture<'a, Page> {
        self.0.memory.scan(table, prefix, after, limit)
    }

    fn commit<'a>(&'a self, transaction: &'a Transaction) -> ResponseFuture<'a, Commit> {
        Box::pin(async move {
            let outcome = self.0.memory.commit(transaction).await;
            if self.0.lose_commit_responses.get() {
                return Err(Error::Unknown("response lost".to_owned()));
            }
            outcome
        })
    }
}

impl Objects for Handle {
    fn get<'a>(&'a self, _: &'a str) -> ResponseFuture<'a, Option<Bytes>> {
        Box::pin(async { Ok(None) })
    }

    fn put<'a>(&'a self, _: &'a str, _: Bytes) -> ResponseFuture<'a, ()> {
        Box::pin(async { Ok(()) })
    }
}

impl Orders for Handle {
    fn order<'a>(
        &'a self,
        order: &'a Order,
        _: Duration,
        may_send: &'a dyn Fn() -> bool,
    ) -> ResponseFuture<'a, Receipt> {
        Box::pin(self.0.send(may_send, || self.0.receive(order)))
    }

    fn machines(&self) -> ResponseFuture<'_, Vec<Machine>> {
        Box::pin(async { Ok(self.0.list()) })
    }
}

impl Reports for Handle {
    fn send<'a>(
        &'a self,
        _: &'a str,
        report: &'a Report,
        _: Duration,
        may_send: &'a dyn Fn() -> bool,
    ) -> ResponseFuture<'a, ()> {
        let effect = || self.0.reports.borrow_mut().push(report.clone());
        Box::pin(self.0.send(may_send, effect))
    }
}

impl Hosts for Handle {
    fn list(&self) -> ResponseFuture<'_, Listing> {
        Box::pin(async { Ok(Listing::default()) })
    }
}

impl Engines for Handle {
    fn load<'a>(&'a self, _: &'a Endpoint) -> ResponseFuture<'a, Load> {
        Box::pin(async { Ok(Load::default()) })
    }

    fn order<'a>(
        &'a self,
        _: &'a Endpoint,
        order: &'a engine::Order,
        _: Duration,
        may_send: &'a dyn Fn() -> bool,
    ) -> ResponseFuture<'a, Result<(), Fenced>> {
        let effect = || {
            self.0.engine_orders.borrow_mut().push(order.clone());
            Ok(())
        };
        Box::pin(self.0.send(may_send, effect))
    }
}

/// Control process without sockets, of which only the lease runs on its own.
pub(crate) struct Host {
    pub(crate) context: Context,
    pub(crate) keeper: Keeper,
    next_step: Instant,
}

impl Host {
    pub(crate) fn new(world: &Rc<World>, id: &str, zone: &str) -> Self {
        let context = context(world, id, zone);
        Self {
            keeper: Keeper::new(&context),
            context,
            next_step: Instant::now(),
        }
    }

    /// Takes the next step of the lease if it is due.
    pub(crate) async fn tick(&mut self) {
        if Instant::now() >= self.next_step {
            let pause = self.keeper.step(&self.context).await;
            self.next_step = Instant::now() + pause;
        }
    }

    /// Advances the clock by `time` in steps of 100 ms, and takes the lease steps that are due.
    pub(crate) async fn run_for(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.tick().await;
            advance(Duration::from_millis(100)).await;
        }
        self.tick().await;
    }

    pub(crate) fn is_holder(&self) -> bool {
        self.context.duty.tenure.epoch().is_some()
    }
}

/// Returns the wall-clock time `seconds` after the Unix epoch. Windows are ten seconds long.
pub(crate) fn wall_time(seconds: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(seconds)
}

pub(crate) fn context(world: &Rc<World>, id: &str, zone: &str) -> Context {
    let settings = settings(id, zone);
    let own = row(id, zone);
    let metrics = Rc::new(Metrics::default());
    let secret = settings.secret().expect("valid cluster key");
    let peers = Peers::new(
        id.to_owned(),
        secret,
        Duration::from_secs(1),
        metrics.clone(),
    );
    let handle = Rc::new(Handle(Rc::clone(world)));
    Context {
        floors: Rc::default(),
        limits: Rc::default(),
        settings: Rc::new(settings),
        host: Rc::new(own.clone().into()),
        platform: Platform {
            tables: handle.clone(),
            objects: handle.clone(),
            orders: handle.clone(),
            reports: handle.clone(),
            hosts: handle.clone(),
            engines: handle,
        },
        copy: Rc::new(Copy::default()),
        members: Rc::new(Members::new(own)),
        peers: Rc::new(peers),
        endpoints: Rc::new(States::default()),
        inbox: Rc::new(Inbox::default()),
        rumours: Rc::default(),
        roster: Rc::default(),
        lease: Rc::default(),
        usage: Rc::default(),
        duty: Rc::default(),
        leaving: Rc::default(),
        metrics,
    }
}

fn settings(id: &str, zone: &str) -> Settings {
    let text = format!(
        "host: {id}\nzone: {zone}\ngate: 127.0.0.1:1\nlisten: 127.0.0.1:0\n\
         peers_listen: 127.0.0.1:0\ngossip: 127.0.0.1:0\nplatform: 127.0.0.1:1\n\
         cluster_key: {CLUSTER_KEY}\nwindow: 10s\nwindow_grace: 5s\n"
    );
    file::parse("test", &text).expect("valid settings")
}

fn row(id: &str, zone: &str) -> HostRow {
    let address = "127.0.0.1:1".parse().expect("valid socket address");
    HostRow {
        host: id.to_owned(),
        incarnation: format!("{id}-run"),
        zone: zone.to_owned(),
        gate: address,
        steer: address,
        gossip: address,
        started_ms: 1,
        leaving: false,
    }
}

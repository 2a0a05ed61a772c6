//! Control processes in one thread, over a platform in memory.
#![allow(dead_code)]

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use agate_fake::memory::{Fault, Memory};
use agate_model::endpoint::Endpoint;
use agate_model::key::Digest;
use agate_settings::file;
use agate_steer::platform::Platform;
use agate_steer::run::{Process, Sockets};
use agate_steer::settings::Settings;
use agate_store::Error;
use agate_store::interface::{Engines, Hosts, Objects, Orders, Reports, ResponseFuture};
use agate_wire::engine::{self, Fenced, Load};
use agate_wire::order::{Machine, Order, Receipt};
use agate_wire::platform::{Listing, Report};
use awc::http::Method;
use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde_json::Value;

pub(crate) const CREDENTIAL: &str = "first-admin";
pub(crate) const CLUSTER_KEY: &str =
    "5ca1ab1e5ca1ab1e5ca1ab1e5ca1ab1e5ca1ab1e5ca1ab1e5ca1ab1e5ca1ab1e";

/// The platform in memory.
#[derive(Default)]
pub(crate) struct Fake {
    pub(crate) tables: Memory,
    pub(crate) objects: RefCell<BTreeMap<String, Bytes>>,
    pub(crate) listing: RefCell<Listing>,
    pub(crate) machines: RefCell<Vec<Machine>>,
    pub(crate) list_down: Cell<bool>,
    /// Hosts that do not reach the platform.
    pub(crate) cut: RefCell<BTreeSet<String>>,
    /// Whether the next commit of a change takes effect and its answer is lost.
    pub(crate) lose_commit: Cell<bool>,
}

impl Fake {
    pub(crate) fn set_down(&self, down: bool) {
        self.tables
            .fault
            .set(if down { Fault::Down } else { Fault::None });
        self.list_down.set(down);
    }

    fn up(&self, host: &str) -> Result<(), Error> {
        if self.list_down.get() || self.cut.borrow().contains(host) {
            return Err(Error::Unreached("down".to_owned()));
        }
        Ok(())
    }
}

/// The interfaces that the table service is not.
struct Rest(Rc<Fake>, String);

impl Objects for Rest {
    fn get<'a>(&'a self, name: &'a str) -> ResponseFuture<'a, Option<Bytes>> {
        Box::pin(async move {
            self.0.up(&self.1)?;
            Ok(self.0.objects.borrow().get(name).cloned())
        })
    }

    fn put<'a>(&'a self, name: &'a str, contents: Bytes) -> ResponseFuture<'a, ()> {
        Box::pin(async move {
            self.0.up(&self.1)?;
            self.0
                .objects
                .borrow_mut()
                .insert(name.to_owned(), contents);
            Ok(())
        })
    }
}

impl Orders for Rest {
    fn order<'a>(
        &'a self,
        _: &'a Order,
        _: Duration,
        _: &'a dyn Fn() -> bool,
    ) -> ResponseFuture<'a, Receipt> {
        Box::pin(async { Ok(Receipt::Unavailable) })
    }

    fn machines(&self) -> ResponseFuture<'_, Vec<Machine>> {
        Box::pin(async move {
            self.0.up(&self.1)?;
            Ok(self.0.machines.borrow().clone())
        })
    }
}

impl Engines for Rest {
    fn load<'a>(&'a self, _: &'a Endpoint) -> ResponseFuture<'a, Load> {
        Box::pin(async { Err(Error::Unreached("no engines".to_owned())) })
    }

    fn order<'a>(
        &'a self,
        _: &'a Endpoint,
        _: &'a engine::Order,
        _: Duration,
        _: &'a dyn Fn() -> bool,
    ) -> ResponseFuture<'a, Result<(), Fenced>> {
        Box::pin(async { Err(Error::Unreached("no engines".to_owned())) })
    }
}

impl Reports for Rest {
    fn send<'a>(
        &'a self,
        _: &'a str,
        _: &'a Report,
        _: Duration,
        _: &'a dyn Fn() -> bool,
    ) -> ResponseFuture<'a, ()> {
        Box::pin(async { Ok(()) })
    }
}

impl Hosts for Rest {
    fn list(&self) -> ResponseFuture<'_, Listing> {
        Box::pin(async move {
            self.0.up(&self.1)?;
            Ok(self.0.listing.borrow().clone())
        })
    }
}

struct Tables(Rc<Fake>, String);

impl agate_store::interface::Tables for Tables {
    fn get<'a>(
        &'a self,
        table: &'a str,
        key: &'a str,
    ) -> ResponseFuture<'a, Option<agate_wire::table::Row>> {
        Box::pin(async move {
            self.0.up(&self.1)?;
            self.0.tables.get(table, key).await
        })
    }

    fn scan<'a>(
        &'a self,
        table: &'a str,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> ResponseFuture<'a, agate_wire::table::Page> {
        Box::pin(async move {
            self.0.up(&self.1)?;
            self.0.tables.scan(table, prefix, after, limit).await
        })
    }

    fn commit<'a>(
        &'a self,
        transaction: &'a agate_wire::table::Transaction,
    ) -> ResponseFuture<'a, agate_wire::table::Commit> {
        Box::pin(async move {
            self.0.up(&self.1)?;
            let outcome = self.0.tables.commit(transaction).await;
            let is_change = transaction.writes.iter().any(|it| it.table == "config");
            if is_change && self.0.lose_commit.take() {
                return Err(Error::Unknown("answer lost".to_owned()));
            }
            outcome
        })
    }
}

pub(crate) fn platform(fake: &Rc<Fake>, host: &str) -> Platform {
    let rest = Rc::new(Rest(Rc::clone(fake), host.to_owned()));
    Platform {
        tables: Rc::new(Tables(Rc::clone(fake), host.to_owned())),
        objects: rest.clone(),
        orders: rest.clone(),
        reports: rest.clone(),
        hosts: rest.clone(),
        engines: rest,
    }
}

/// A control process and its address for operators.
pub(crate) struct Host {
    pub(crate) process: Process,
    pub(crate) api: SocketAddr,
    pub(crate) rpc: SocketAddr,
}

pub(crate) fn settings(host: &str, zone: &str, extra: &str) -> Settings {
    let digest = hex::encode(Digest::of(CREDENTIAL.as_bytes()).0);
    let text = format!(
        "host: {host}\nzone: {zone}\ngate: 127.0.0.1:1\nlisten: 127.0.0.1:0\n\
         peers_listen: 127.0.0.1:0\ngossip: 127.0.0.1:0\nplatform: 127.0.0.1:1\n\
         cluster_key: {CLUSTER_KEY}\nbootstrap_operator_digest: {digest}\n\
         intervals: {{ store: 100ms, hosts: 100ms, gossip: 50ms }}\n{extra}"
    );
    file::parse("test", &text).expect("settings")
}

pub(crate) async fn start(fake: &Rc<Fake>, settings: Settings) -> Host {
    let sockets = Sockets::bind(&settings).await.expect("sockets");
    let api = sockets.api.local_addr().expect("address");
    let rpc = sockets.rpc.address;
    let platform = platform(fake, &settings.host);
    let process = Process::start(settings, platform, sockets).expect("start");
    Host { process, api, rpc }
}

/// Status and JSON body.
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) body: Value,
}

impl Reply {
    pub(crate) fn parse<T: DeserializeOwned>(&self) -> T {
        serde_json::from_value(self.body.clone()).expect("the body's type")
    }
}

impl Host {
    pub(crate) async fn call(&self, method: Method, path: &str, body: Option<Value>) -> Reply {
        self.call_as(CREDENTIAL, method, path, body, &[]).await
    }

    pub(crate) async fn call_as(
        &self,
        credential: &str,
        method: Method,
        path: &str,
        body: Option<Value>,
        headers: &[(&str, &str)],
    ) -> Reply {
        let client = awc::Client::builder()
            .timeout(Duration::from_secs(10))
            .finish();
        let mut request = client
            .request(method, format!("http://{}{path}", self.api))
            .bearer_auth(credential);
        for header in headers {
            request = request.insert_header(*header);
        }
        let sent = match body {
            Some(body) => request.send_json(&body).await,
            None => request.send().await,
        };
        let mut response = sent.expect("an answer");
        let body = response.body().await.expect("a body");
        Reply {
            status: response.status().as_u16(),
            body: serde_json::from_slice(&body).unwrap_or(Value::Null),
        }
    }

    pub(crate) async fn apply(&self, items: Value) -> Reply {
        let body = serde_json::json!({ "items": items });
        self.call(Method::POST, "/api/v1/apply", Some(body)).await
    }
}

/// Waits until `condition` holds, at most ten seconds.
pub(crate) async fn until(what: &str, condition: impl Fn() -> bool) {
    for _ in 0..1000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("not within 10 s: {what}");
}

pub(crate) fn account(id: &str, weight: u32) -> Value {
    serde_json::json!({ "kind": "account", "id": id, "weight": weight })
}

pub(crate) fn put(manifest: &Value) -> Value {
    serde_json::json!({ "edit": { "op": "put", "manifest": manifest } })
}

//! Control processes on one thread, with an in-memory platform.
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

/// Credential of the operator whose digest is in the settings.
pub(crate) const CREDENTIAL: &str = "first-admin";
pub(crate) const CLUSTER_KEY: &str =
    "5ca1ab1e5ca1ab1e5ca1ab1e5ca1ab1e5ca1ab1e5ca1ab1e5ca1ab1e5ca1ab1e";

/// In-memory platform, shared by all hosts of a test.
#[derive(Default)]
pub(crate) struct Fake {
    pub(crate) tables: Memory,
    pub(crate) objects: RefCell<BTreeMap<String, Bytes>>,
    pub(crate) listing: RefCell<Listing>,
    pub(crate) machines: RefCell<Vec<Machine>>,
    pub(crate) list_down: Cell<bool>,
    /// Hosts that can't reach the platform.
    pub(crate) cut_off: RefCell<BTreeSet<String>>,
    /// Whether the next commit to the `config` table takes effect but its response is lost.
    pub(crate) lose_commit: Cell<bool>,
}

impl Fake {
    pub(crate) fn set_down(&self, down: bool) {
        self.tables
            .fault
            .set(if down { Fault::Down } else { Fault::None });
        self.list_down.set(down);
    }

    fn check_reachable(&self, host: &str) -> Result<(), Error> {
        if self.list_down.get() || self.cut_off.borrow().contains(host) {
            return Err(Error::Unreached("down".to_owned()));
        }
        Ok(())
    }
}

/// The platform's interfaces other than tables, as seen by the named host.
struct Interfaces(Rc<Fake>, String);

impl Objects for Interfaces {
    fn get<'a>(&'a self, name: &'a str) -> ResponseFuture<'a, Option<Bytes>> {
        Box::pin(async move {
            self.0.check_reachable(&self.1)?;
            Ok(self.0.objects.borrow().get(name).cloned())
        })
    }

    fn put<'a>(&'a self, name: &'a str, contents: Bytes) -> ResponseFuture<'a, ()> {
        Box::pin(async move {
            self.0.check_reachable(&self.1)?;
            self.0
                .objects
                .borrow_mut()
                .insert(name.to_owned(), contents);
            Ok(())
        })
    }
}

impl Orders for Interfaces {
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
            self.0.check_reachable(&self.1)?;
            Ok(self.0.machines.borrow().clone())
        })
    }
}

impl Engines for Interfaces {
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

impl Reports for Interfaces {
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

impl Hosts for Interfaces {
    fn list(&self) -> ResponseFuture<'_, Listing> {
        Box::pin(async move {
            self.0.check_reachable(&self.1)?;
            Ok(self.0.listing.borrow().clone())
        })
    }
}

/// The platform's tables, as seen by the named host.
struct Tables(Rc<Fake>, String);

impl agate_store::interface::Tables for Tables {
    fn get<'a>(
        &'a self,
        table: &'a str,
        key: &'a str,
    ) -> ResponseFuture<'a, Option<agate_wire::table::Row>> {
        Box::pin(async move {
            self.0.check_reachable(&self.1)?;
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
            self.0.check_reachable(&self.1)?;
            self.0.tables.scan(table, prefix, after, limit).await
        })
    }

    fn commit<'a>(
        &'a self,
        transaction: &'a agate_wire::table::Transaction,
    ) -> ResponseFuture<'a, agate_wire::table::Commit> {
        Box::pin(async move {
            self.0.check_reachable(&self.1)?;
            let outcome = self.0.tables.commit(transaction).await;
            let is_change = transaction
                .writes
                .iter()
                .any(|write| write.table == "config");
            if is_change && self.0.lose_commit.take() {
                return Err(Error::Unknown("response lost".to_owned()));
            }
            outcome
        })
    }
}

pub(crate) fn platform(fake: &Rc<Fake>, host: &str) -> Platform {
    let interfaces = Rc::new(Interfaces(Rc::clone(fake), host.to_owned()));
    Platform {
        tables: Rc::new(Tables(Rc::clone(fake), host.to_owned())),
        objects: interfaces.clone(),
        orders: interfaces.clone(),
        reports: interfaces.clone(),
        hosts: interfaces.clone(),
        engines: interfaces,
    }
}

/// A control process with the addresses of its HTTP API and its JSON-RPC server.
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

/// HTTP status and JSON body; the body is null if it isn't JSON.
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) body: Value,
}

impl Response {
    pub(crate) fn parse<T: DeserializeOwned>(&self) -> T {
        serde_json::from_value(self.body.clone()).expect("the body has the expected type")
    }
}

impl Host {
    pub(crate) async fn call(&self, method: Method, path: &str, body: Option<Value>) -> Response {
        self.call_as(CREDENTIAL, method, path, body, &[]).await
    }

    pub(crate) async fn call_as(
        &self,
        credential: &str,
        method: Method,
        path: &str,
        body: Option<Value>,
        headers: &[(&str, &str)],
    ) -> Response {
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
        let mut response = sent.expect("a response");
        let body = response.body().await.expect("a body");
        Response {
            status: response.status().as_u16(),
            body: serde_json::from_slice(&body).unwrap_or(Value::Null),
        }
    }

    pub(crate) async fn apply(&self, items: Value) -> Response {
        let body = serde_json::json!({ "items": items });
        self.call(Method::POST, "/api/v1/apply", Some(body)).await
    }
}

/// Waits until `condition` holds; panics with `description` after ten seconds.
pub(crate) async fn wait_until(description: &str, condition: impl Fn() -> bool) {
    for _ in 0..1000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("not within 10 s: {description}");
}

pub(crate) fn account(id: &str, weight: u32) -> Value {
    serde_json::json!({ "kind": "account", "id": id, "weight": weight })
}

pub(crate) fn put(manifest: &Value) -> Value {
    serde_json::json!({ "edit": { "op": "put", "manifest": manifest } })
}

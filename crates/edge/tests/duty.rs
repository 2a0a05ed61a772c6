//! Lease and usage reports of several hosts with one store.

mod support;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use agate_edge::interface::{Counts, Duties, FencingToken, Order};
use agate_edge::settings::Settings;
use agate_store::Error;
use agate_store::interface::ResponseFuture;
use support::{Connection, Harness, KEY, Server, Step, Store, request, settings, status};
use tokio::time::{Instant, sleep};

const OK_RESPONSE: &str =
    "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\ncontent-length: 4\r\n\r\nfine";

/// One received usage report.
#[derive(Clone, Debug)]
struct Report {
    at: Instant,
    fencing_token: FencingToken,
    window: u64,
    counts: Counts,
}

/// Receiver of usage reports. The response to every third one is lost.
#[derive(Default)]
struct Receiver {
    reports: RefCell<Vec<Report>>,
    calls: Cell<usize>,
}

impl Duties for Receiver {
    fn report<'a>(
        &'a self,
        fencing_token: &'a FencingToken,
        window: u64,
        counts: &'a Counts,
        _deadline: Duration,
        may_send: &'a dyn Fn() -> bool,
    ) -> ResponseFuture<'a, ()> {
        Box::pin(async move {
            if !may_send() {
                return Err(Error::Unreached("the lease has expired".to_owned()));
            }
            self.reports.borrow_mut().push(Report {
                at: Instant::now(),
                fencing_token: fencing_token.clone(),
                window,
                counts: counts.clone(),
            });
            self.calls.set(self.calls.get() + 1);
            match self.calls.get() % 3 {
                0 => Err(Error::Unknown("the response is lost".to_owned())),
                _ => Ok(()),
            }
        })
    }

    fn order<'a>(
        &'a self,
        _fencing_token: &'a FencingToken,
        _order: &'a Order,
        _deadline: Duration,
        _may_send: &'a dyn Fn() -> bool,
    ) -> ResponseFuture<'a, ()> {
        Box::pin(async { Ok(()) })
    }
}

/// Starts a host with usage windows of 1 s.
async fn host(store: &Rc<Store>, receiver: &Rc<Receiver>, name: &str) -> Harness {
    let mut settings = Settings {
        host: name.to_owned(),
        ..settings().await
    };
    settings.bounds.window = Duration::from_secs(1);
    let duties: Rc<dyn Duties> = receiver.clone();
    Harness::with_duties(store.clone(), settings, Some(duties)).await
}

/// The lease holder is killed while responses to its reports are lost. Its successor acts only
/// after the lease has expired, and with a higher epoch. All reports of a window carry the same
/// counts, no window is missing, and each served request is counted once.
#[actix_rt::test]
async fn successor_acts_after_expiry_and_reports_each_window_with_one_set_of_counts() {
    let server = Server::start(vec![vec![Step::Write(OK_RESPONSE)]]).await;
    let store = Rc::new(Store::default());
    store.put("settings", "config", Some(&format!("1 {KEY}")));
    store.put("endpoints", "e0", Some(&server.address.to_string()));
    let receiver = Rc::new(Receiver::default());
    let mut hosts = Vec::new();
    for name in ["one", "two", "three"] {
        hosts.push(host(&store, &receiver, name).await);
    }
    for n in 0..20 {
        let response = hosts[n % 3]
            .call(&request("read", &format!("r{n}"), ""))
            .await;
        assert_eq!(status(&response), "200");
    }
    sleep(Duration::from_secs(9)).await;
    let first = receiver
        .reports
        .borrow()
        .last()
        .cloned()
        .expect("at least one report should arrive");
    let at = hosts
        .iter()
        .position(|host| host.settings.host == first.fencing_token.host);
    let ended = hosts.remove(at.expect("the lease holder should be one of the hosts"));
    // Aborting the tasks stops the host at once, as a kill of the process would.
    ended.program.kill();
    let killed = Instant::now();
    sleep(Duration::from_secs(14)).await;
    let reports = receiver.reports.borrow();
    let last = reports.last().expect("at least one report should arrive");
    assert!(
        last.fencing_token.epoch > first.fencing_token.epoch
            && last.fencing_token.host != first.fencing_token.host
    );
    let mut epoch = 0;
    let mut counts_by_window: BTreeMap<u64, Counts> = BTreeMap::new();
    for report in reports.iter() {
        assert!(
            report.fencing_token.epoch >= epoch,
            "{report:?} after epoch {epoch}"
        );
        if report.fencing_token.epoch > first.fencing_token.epoch {
            let wait = report.at - killed;
            assert!(
                wait >= Duration::from_secs(1),
                "the successor acted {wait:?} after the holder was killed"
            );
        }
        epoch = report.fencing_token.epoch;
        let known = counts_by_window
            .entry(report.window)
            .or_insert_with(|| report.counts.clone());
        assert_eq!(*known, report.counts, "window {}", report.window);
    }
    let windows: Vec<u64> = counts_by_window.keys().copied().collect();
    let span = windows
        .last()
        .zip(windows.first())
        .map(|(last, first)| last - first + 1);
    assert_eq!(span, Some(windows.len() as u64), "{windows:?}");
    let counted: u64 = counts_by_window.values().flat_map(Counts::values).sum();
    assert_eq!(counted, 20);
}

/// Guards against reports that lack the counts of a host that is cut off from the store: windows
/// were once reported without them 4.6 s after their end.
#[actix_rt::test]
async fn report_of_a_window_waits_for_hosts_that_are_cut_off() {
    let server = Server::start(vec![vec![Step::Write(OK_RESPONSE)]]).await;
    let store = Rc::new(Store::default());
    store.put("settings", "config", Some(&format!("1 {KEY}")));
    store.put("endpoints", "e0", Some(&server.address.to_string()));
    let receiver = Rc::new(Receiver::default());
    let _holder = host(&store, &receiver, "one").await;
    let connection = Connection::new(store);
    let mut settings = Settings {
        host: "two".to_owned(),
        zone: "b".to_owned(),
        ..settings().await
    };
    settings.bounds.window = Duration::from_secs(1);
    let cut_off = Harness::with_connection(connection.clone(), settings, None).await;
    sleep(Duration::from_secs(3)).await;
    connection.is_cut.set(true);
    for n in 0..10 {
        let response = cut_off.call(&request("read", &format!("r{n}"), "")).await;
        assert_eq!(status(&response), "200");
    }
    sleep(Duration::from_millis(5_500)).await;
    connection.is_cut.set(false);
    sleep(Duration::from_secs(8)).await;
    let reports = receiver.reports.borrow();
    let mut counts_by_window: BTreeMap<u64, &Counts> = BTreeMap::new();
    for report in reports.iter() {
        let known = counts_by_window
            .entry(report.window)
            .or_insert(&report.counts);
        assert_eq!(**known, report.counts, "window {}", report.window);
    }
    let counted: u64 = counts_by_window
        .values()
        .flat_map(|counts| counts.values())
        .sum();
    assert_eq!(counted, 10);
}

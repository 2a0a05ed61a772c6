//! Lease and usage reports of several hosts with one store.

mod support;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, UNIX_EPOCH};

use agate_edge::interface::{Counts, Duties, FencingToken, Order};
use agate_edge::metrics::Outcome;
use agate_edge::settings::Settings;
use agate_store::Error;
use agate_store::interface::ResponseFuture;
use rstest::rstest;
use support::{AfterGet, Connection, Harness, KEY, Server, Step, Store, request, settings, status};
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

/// Returns the counts of each reported window; fails if one was reported with different counts, or if a token was used
/// by two hosts or after a higher one.
fn figures(reports: &[Report]) -> BTreeMap<u64, Counts> {
    let mut figures: BTreeMap<u64, Counts> = BTreeMap::new();
    let mut holders = BTreeMap::new();
    let mut highest = 0;
    for report in reports {
        let token = &report.fencing_token;
        assert!(token.epoch >= highest, "{report:?} after {highest}");
        highest = token.epoch;
        let holder = holders.entry(token.epoch).or_insert(&token.host);
        assert_eq!(*holder, &token.host, "epoch {}", token.epoch);
        let known = figures
            .entry(report.window)
            .or_insert_with(|| report.counts.clone());
        assert_eq!(*known, report.counts, "window {}", report.window);
    }
    figures
}

/// Returns how often a host has counted a change.
fn changes(host: &Harness, outcome: &'static str) -> u64 {
    let changes = &host.program.edge().metrics.changes;
    changes.get_or_create(&Outcome { outcome }).get()
}

/// Returns a store with a configuration and one endpoint.
fn store(server: &Server) -> Rc<Store> {
    Harness::store(&[server])
}

/// Sends one request every 100 ms to each host in turn.
async fn serve(hosts: &[&Harness], name: &str, seconds: u64) {
    for n in 0..10 * seconds {
        let index = usize::try_from(n).expect("a small number") % hosts.len();
        let response = hosts[index]
            .call(&request("read", &format!("{name}{n}"), ""))
            .await;
        assert_eq!(status(&response), "200");
        sleep(Duration::from_millis(100)).await;
    }
}

/// Returns the position of the host that sent the last report.
fn holder(hosts: &[Harness], receiver: &Receiver) -> usize {
    let reports = receiver.reports.borrow();
    let last = reports.last().expect("at least one report should arrive");
    let position = hosts
        .iter()
        .position(|host| host.settings.host == last.fencing_token.host);
    position.expect("the lease holder should be one of the hosts")
}

/// Returns the window in which a host got to know of the newest era.
fn first_open(host: &Harness) -> u64 {
    let edge = host.program.edge();
    edge.window_at(edge.eras.since())
}

/// Asserts that every window is reported from the one in which its holder learned of the return. Host rows are read every
/// 1.2 s, so that is at most the second window of 1 s after the one in which the store returned.
fn assert_reported_from(windows: &BTreeMap<u64, Counts>, holder: &Harness, returned: u64) {
    let open = first_open(holder);
    assert!(open <= returned + 2, "{open} after {returned}");
    let after: Vec<u64> = windows.range(open..).map(|(window, _)| *window).collect();
    assert!(after.len() >= 5 && after[0] == open, "{open}: {after:?}");
    assert_contiguous(&after);
}

/// Asserts that the windows follow each other without a gap.
fn assert_contiguous(windows: &[u64]) {
    let is_contiguous = windows.windows(2).all(|pair| pair[0] + 1 == pair[1]);
    assert!(is_contiguous, "{windows:?}");
}

/// Guards against one token for two tenures, and against two figures for a window that was reported before the store
/// returned: the lease and the frozen counts are lost, and the holder of both is still there or not.
#[rstest]
#[case::holder_alive(false)]
#[case::holder_gone(true)]
#[actix_rt::test]
async fn windows_reported_before_a_return_keep_their_counts(#[case] is_gone: bool) {
    let server = Server::start(vec![vec![Step::Write(OK_RESPONSE)]]).await;
    let store = store(&server);
    let receiver = Rc::new(Receiver::default());
    let mut hosts = Vec::new();
    let copy = store.copy();
    for name in ["one", "two", "three"] {
        hosts.push(host(&store, &receiver, name).await);
    }
    serve(&hosts.iter().collect::<Vec<_>>(), "a", 6).await;
    let former = holder(&hosts, &receiver);
    let before = receiver.reports.borrow().len();
    store.return_from(copy);
    let returned = hosts[former].program.edge().window();
    if is_gone {
        hosts.remove(former).program.kill();
    }
    serve(&hosts.iter().collect::<Vec<_>>(), "b", 12).await;
    sleep(Duration::from_secs(5)).await;
    let reports = receiver.reports.borrow();
    let windows = figures(&reports);
    let (earlier, later) = reports.split_at(before);
    let highest = earlier
        .iter()
        .map(|report| report.fencing_token.epoch)
        .max();
    let later: Vec<_> = later
        .iter()
        .filter(|report| Some(report.fencing_token.epoch) > highest)
        .collect();
    let name = later.first().map(|report| &report.fencing_token.host);
    let next = hosts.iter().find(|host| Some(&host.settings.host) == name);
    let next = next.expect("the lease should be granted again");
    assert_reported_from(&windows, next, returned);
    if !is_gone {
        assert!(changes(&hosts[former], "usage_written_again") > 0);
    }
}

/// Guards against a gap in the reports of a holder whose lease the copy has, in two returns in a row.
#[actix_rt::test]
async fn holder_that_stays_reports_every_window() {
    let server = Server::start(vec![vec![Step::Write(OK_RESPONSE)]]).await;
    let store = store(&server);
    let receiver = Rc::new(Receiver::default());
    let one = host(&store, &receiver, "one").await;
    let two = host(&store, &receiver, "two").await;
    serve(&[&one, &two], "a", 4).await;
    let copy = store.copy();
    serve(&[&one, &two], "b", 2).await;
    store.return_from(copy);
    serve(&[&one, &two], "c", 1).await;
    let copy = store.copy();
    serve(&[&one, &two], "d", 1).await;
    store.return_from(copy);
    serve(&[&one, &two], "e", 3).await;
    sleep(Duration::from_secs(5)).await;
    let reports = receiver.reports.borrow();
    let windows = figures(&reports);
    let first = reports.first().map(|report| report.fencing_token.epoch);
    let last = reports.last().map(|report| report.fencing_token.epoch);
    assert_eq!(first, last, "the holder should stay");
    assert_contiguous(&windows.keys().copied().collect::<Vec<_>>());
    assert_eq!(changes(&one, "usage_lost") + changes(&two, "usage_lost"), 0);
    let counted: u64 = windows.values().flat_map(Counts::values).sum();
    assert_eq!(counted, 110);
}

/// Guards against two figures for the window that the former holder reported last: the store returned without it after
/// its successor had read which windows were reported, and before the successor knew of the return.
#[actix_rt::test]
async fn window_is_not_counted_anew_after_an_unnoticed_return() {
    let server = Server::start(vec![vec![Step::Write(OK_RESPONSE)]]).await;
    let store = store(&server);
    let receiver = Rc::new(Receiver::default());
    let first = host(&store, &receiver, "one").await;
    serve(&[&first], "a", 4).await;
    // The copy names a window as reported.
    while receiver.reports.borrow().is_empty() {
        sleep(Duration::from_millis(100)).await;
    }
    let copy = store.copy();
    serve(&[&first], "b", 3).await;
    first.program.kill();
    // Counts that were not known when the windows were frozen.
    let windows = receiver
        .reports
        .borrow()
        .iter()
        .map(|report| report.window)
        .collect::<Vec<_>>();
    let windows_before = windows.last().map_or(0, |window| window + 1);
    let late: BTreeMap<u64, Counts> = windows
        .iter()
        .map(|window| (*window, Counts::from([("night".to_owned(), 1000)])))
        .collect();
    let late =
        serde_json::json!({"run": "late/1", "at": 1, "ended": true, "windows": late, "offers": {}});
    let late = late.to_string();
    store.put("ledger", "late/1", Some(&late));
    let connection = Connection::new(store);
    let returned = Rc::new(Cell::new(0));
    let returned_at = returned.clone();
    let after: AfterGet = Box::new(move |store| {
        let elapsed = UNIX_EPOCH.elapsed().expect("the clock is after 1970");
        returned_at.set(elapsed.as_secs());
        store.return_from(copy);
        store.put("ledger", "late/1", Some(&late));
    });
    connection
        .after_get
        .replace(Some(("head".to_owned(), after)));
    let mut settings = Settings {
        host: "two".to_owned(),
        ..settings().await
    };
    settings.bounds.window = Duration::from_secs(1);
    let duties: Rc<dyn Duties> = receiver.clone();
    let second = Harness::with_connection(connection.clone(), settings, Some(duties)).await;
    serve(&[&second], "c", 12).await;
    sleep(Duration::from_secs(12)).await;
    assert!(
        connection.after_get.borrow().is_none(),
        "the store should return"
    );
    let reports = receiver.reports.borrow();
    let windows = figures(&reports);
    assert_reported_from(&windows, &second, returned.get());
    // What the former holder may have reported in the lost seconds is said to be lost.
    let unreported = (windows_before..first_open(&second))
        .filter(|window| !windows.contains_key(window))
        .count();
    let lost = changes(&second, "usage_lost");
    assert!(
        lost >= unreported as u64,
        "{unreported} unreported, {lost} lost"
    );
}

//! Duties of several hosts with one store.

mod support;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use agate_edge::interface::{Counts, Duties, Order, Seal};
use agate_edge::settings::Settings;
use agate_store::Error;
use agate_store::interface::Answer;
use support::{Bench, KEY, Server, Step, Store, Way, ask, settings, status};
use tokio::time::{Instant, sleep};

const FINE: &str = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: 1\r\ncontent-length: 4\r\n\r\nfine";

/// One report as it arrived.
#[derive(Clone, Debug)]
struct Report {
    at: Instant,
    seal: Seal,
    window: u64,
    counts: Counts,
}

/// Receives reports; the answer of each third one is lost.
#[derive(Default)]
struct Office {
    reports: RefCell<Vec<Report>>,
    calls: Cell<usize>,
}

impl Duties for Office {
    fn report<'a>(
        &'a self,
        seal: &'a Seal,
        window: u64,
        counts: &'a Counts,
        _deadline: Duration,
        may_send: &'a dyn Fn() -> bool,
    ) -> Answer<'a, ()> {
        Box::pin(async move {
            if !may_send() {
                return Err(Error::Unreached("no leave".to_owned()));
            }
            self.reports.borrow_mut().push(Report {
                at: Instant::now(),
                seal: seal.clone(),
                window,
                counts: counts.clone(),
            });
            self.calls.set(self.calls.get() + 1);
            match self.calls.get() % 3 {
                0 => Err(Error::Unknown("the answer is lost".to_owned())),
                _ => Ok(()),
            }
        })
    }

    fn order<'a>(
        &'a self,
        _seal: &'a Seal,
        _order: &'a Order,
        _deadline: Duration,
        _may_send: &'a dyn Fn() -> bool,
    ) -> Answer<'a, ()> {
        Box::pin(async { Ok(()) })
    }
}

async fn host(store: &Rc<Store>, office: &Rc<Office>, name: &str) -> Bench {
    let mut settings = Settings {
        host: name.to_owned(),
        ..settings().await
    };
    settings.bounds.window = Duration::from_secs(1);
    let duties: Rc<dyn Duties> = office.clone();
    Bench::with_duties(store.clone(), settings, Some(duties)).await
}

/// The holder ends without a word while answers are lost. Its successor acts only after the lease
/// has run out, with a higher fencing number; no window gets two figures, none is left out, and
/// what was served is counted once.
#[actix_rt::test]
async fn one_holder_after_the_other_and_one_figure_for_each_window() {
    let server = Server::start(vec![vec![Step::Write(FINE)]]).await;
    let store = Rc::new(Store::default());
    store.put("settings", "config", Some(&format!("1 {KEY}")));
    store.put("endpoints", "e0", Some(&server.address.to_string()));
    let office = Rc::new(Office::default());
    let mut hosts = Vec::new();
    for name in ["one", "two", "three"] {
        hosts.push(host(&store, &office, name).await);
    }
    for n in 0..20 {
        let answer = hosts[n % 3].call(&ask("read", &format!("r{n}"), "")).await;
        assert_eq!(status(&answer), "200");
    }
    sleep(Duration::from_secs(9)).await;
    let first = office.reports.borrow().last().cloned().expect("a report");
    let at = hosts
        .iter()
        .position(|it| it.settings.host == first.seal.host);
    let ended = hosts.remove(at.expect("the holder is one of the hosts"));
    // Dropping the tasks ends the host at once, as a kill would.
    ended.program.kill();
    let killed = Instant::now();
    sleep(Duration::from_secs(14)).await;
    let reports = office.reports.borrow();
    let last = reports.last().expect("a report");
    assert!(last.seal.epoch > first.seal.epoch && last.seal.host != first.seal.host);
    let mut epoch = 0;
    let mut figures: BTreeMap<u64, Counts> = BTreeMap::new();
    for report in reports.iter() {
        assert!(report.seal.epoch >= epoch, "{report:?} after epoch {epoch}");
        if report.seal.epoch > first.seal.epoch {
            let wait = report.at - killed;
            assert!(
                wait >= Duration::from_secs(1),
                "{wait:?} after the holder ended"
            );
        }
        epoch = report.seal.epoch;
        let known = figures
            .entry(report.window)
            .or_insert_with(|| report.counts.clone());
        assert_eq!(*known, report.counts, "window {}", report.window);
    }
    let windows: Vec<u64> = figures.keys().copied().collect();
    let span = windows
        .last()
        .zip(windows.first())
        .map(|(last, first)| last - first + 1);
    assert_eq!(span, Some(windows.len() as u64), "{windows:?}");
    let counted: u64 = figures.values().flat_map(Counts::values).sum();
    assert_eq!(counted, 20);
}

/// A host was cut off from the store with counts that it had not written, and windows were
/// reported without them 4.6 s after their end.
#[actix_rt::test]
async fn a_window_waits_for_hosts_that_are_cut_off() {
    let server = Server::start(vec![vec![Step::Write(FINE)]]).await;
    let store = Rc::new(Store::default());
    store.put("settings", "config", Some(&format!("1 {KEY}")));
    store.put("endpoints", "e0", Some(&server.address.to_string()));
    let office = Rc::new(Office::default());
    let _holder = host(&store, &office, "one").await;
    let way = Way::new(store);
    let mut settings = Settings {
        host: "two".to_owned(),
        zone: "b".to_owned(),
        ..settings().await
    };
    settings.bounds.window = Duration::from_secs(1);
    let cut_off = Bench::with_way(way.clone(), settings, None).await;
    sleep(Duration::from_secs(3)).await;
    way.is_cut.set(true);
    for n in 0..10 {
        let answer = cut_off.call(&ask("read", &format!("r{n}"), "")).await;
        assert_eq!(status(&answer), "200");
    }
    sleep(Duration::from_millis(5_500)).await;
    way.is_cut.set(false);
    sleep(Duration::from_secs(8)).await;
    let reports = office.reports.borrow();
    let mut figures: BTreeMap<u64, &Counts> = BTreeMap::new();
    for report in reports.iter() {
        let known = figures.entry(report.window).or_insert(&report.counts);
        assert_eq!(**known, report.counts, "window {}", report.window);
    }
    let counted: u64 = figures.values().flat_map(|it| it.values()).sum();
    assert_eq!(counted, 10);
}

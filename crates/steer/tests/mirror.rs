//! Usage of a host that is lost while the store is unavailable: a peer writes it once the store is
//! available again.

mod common;

use std::rc::Rc;
use std::time::{Duration, SystemTime};

use agate_steer::context::Context;
use agate_steer::metrics::Label;
use agate_wire::platform::{Counters, Listing, Machine, Purpose, State};
use agate_wire::sync::{Request, Usage};
use agate_wire::usage::Row;
use common::{Fake, Host, settings, start, wait_until};
use tokio::time::Instant;

const INTERVAL: Duration = Duration::from_millis(100);

async fn host(fake: &Rc<Fake>, id: &str, zone: &str) -> Host {
    let mut settings = settings(id, zone, "");
    settings.intervals.usage = INTERVAL;
    settings.intervals.mirror = INTERVAL;
    start(fake, settings).await
}

fn mirror_calls(context: &Context) -> u64 {
    let mirror = &context.duty.metrics.mirror;
    mirror.get_or_create(&Label::new("done")).get()
}

fn rows(fake: &Fake) -> Vec<Row> {
    let page = fake.tables.tables.borrow().scan("usage", "", "", 9);
    let parse = |row: &agate_wire::table::Row| {
        serde_json::from_str(&row.value).expect("well-formed usage row")
    };
    page.rows.iter().map(parse).collect()
}

#[actix_rt::test]
async fn peer_writes_the_usage_that_a_lost_host_mirrored_to_it() {
    let fake = Rc::new(Fake::default());
    let lost = host(&fake, "host-0", "a").await;
    let peer = host(&fake, "host-1", "b").await;
    let context = &lost.process.context;
    wait_until("the hosts know each other", || {
        !context.members.live().is_empty()
    })
    .await;
    let has_head = || fake.tables.tables.borrow().get("window", "head").is_some();
    wait_until("a holder has written the first window head", has_head).await;

    fake.set_down(true);
    let window = agate_steer::sync::open_window(context, SystemTime::now());
    let request = Request {
        host: "host-0".to_owned(),
        incarnation: "gate".to_owned(),
        usage: vec![Usage {
            account: "acct".to_owned(),
            window,
            figures: Counters {
                requests: 3,
                ..Counters::default()
            },
        }],
        ..Request::default()
    };
    context.inbox.record(request, Instant::now());
    let before = mirror_calls(context);
    wait_until("the totals are mirrored", || {
        mirror_calls(context) >= before + 2
    })
    .await;

    fake.cut_off.borrow_mut().insert("host-0".to_owned());
    *fake.listing.borrow_mut() = Listing {
        revision: 9,
        machines: vec![Machine {
            id: "host-0".to_owned(),
            purpose: Purpose::Host,
            zone: "a".to_owned(),
            state: State::Gone,
        }],
    };
    fake.set_down(false);
    wait_until("the peer writes the row", || !rows(&fake).is_empty()).await;
    let parts: Vec<_> = rows(&fake).into_iter().flat_map(|row| row.parts).collect();
    assert_eq!(parts.len(), 1);
    assert_eq!((parts[0].account.as_str(), parts[0].requests), ("acct", 3));
    drop(peer);
}

//! Admission to the queue and order of starts in fixed situations.

mod common;

use std::time::{Duration, Instant};

use agate_model::refusal::Reason;
use agate_queue::{Offer, Room, Scheduler, Ticket};
use common::item;

/// Returns the ticket of a queued request and the one that it displaced; panics on a refusal.
fn queued(offer: Offer) -> (Ticket, Option<Ticket>) {
    match offer {
        Offer::Queued { ticket, displaced } => (ticket, displaced),
        Offer::Refused(reason) => panic!(
            "request refused ({}), expected it to be queued",
            reason.code()
        ),
    }
}

#[test]
fn a_higher_tier_starts_before_a_lower_one() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new();
    queued(scheduler.offer(now, item(now, "a", 3)));
    queued(scheduler.offer(now, item(now, "a", 0)));
    let start = scheduler.next(now, Room::ANY).expect("work is queued");
    assert_eq!(start.item.tier, 0);
    scheduler.settle(start.charge, 50);
}

#[test]
fn a_full_queue_displaces_from_the_account_most_over_its_share_in_the_lowest_tier() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new();
    queued(scheduler.offer(now, item(now, "light", 3)));
    let heavy: Vec<_> = (0..7)
        .map(|_| queued(scheduler.offer(now, item(now, "heavy", 3))).0)
        .collect();
    for _ in 0..8 {
        queued(scheduler.offer(now, item(now, "a", 1)));
    }
    let (_, displaced) = queued(scheduler.offer(now, item(now, "a", 1)));
    assert_eq!(displaced, heavy.last().copied());
    let lowest_tier = scheduler.offer(now, item(now, "other", 4));
    assert!(
        matches!(lowest_tier, Offer::Queued { .. }),
        "the class of the request is within its own limit"
    );
}

#[test]
fn a_full_class_displaces_from_the_account_over_its_share() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new();
    let heavy: Vec<_> = (0..8)
        .map(|_| queued(scheduler.offer(now, item(now, "heavy", 1))).0)
        .collect();
    let again = scheduler.offer(now, item(now, "heavy", 1));
    assert_eq!(again, Offer::Refused(Reason::QueueFull));
    let (_, displaced) = queued(scheduler.offer(now, item(now, "light", 1)));
    assert_eq!(displaced, heavy.last().copied());
}

#[test]
fn a_request_past_its_deadline_is_refused_or_removed() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new();
    let late = scheduler.offer(now + Duration::from_secs(4000), item(now, "a", 0));
    assert_eq!(late, Offer::Refused(Reason::DeadlinePassed));
    let (ticket, _) = queued(scheduler.offer(now, item(now, "a", 0)));
    let end = scheduler.next_expiry().expect("one request is queued");
    assert!(scheduler.expire(end - Duration::from_millis(1)).is_empty());
    assert_eq!(scheduler.expire(end), [ticket]);
    assert!(scheduler.is_empty());
}

#[test]
fn an_unreachable_deadline_is_refused_without_looking_at_lower_tiers() {
    let start = Instant::now();
    let mut scheduler = Scheduler::new();
    let mut now = start;
    for _ in 0..40 {
        queued(scheduler.offer(now, item(now, "a", 3)));
        now += Duration::from_secs(1);
        let start = scheduler.next(now, Room::ANY).expect("work is queued");
        scheduler.settle(start.charge, 100);
    }
    for _ in 0..6 {
        queued(scheduler.offer(now, item(now, "a", 3)));
    }
    let mut short_deadline = item(now, "a", 3);
    short_deadline.deadline = now + Duration::from_secs(3);
    assert_eq!(
        scheduler.offer(now, short_deadline.clone()),
        Offer::Refused(Reason::DeadlineUnreachable)
    );
    short_deadline.account = Some("light".to_owned());
    queued(scheduler.offer(now, short_deadline));
    let mut higher = item(now, "a", 2);
    higher.deadline = now + Duration::from_secs(3);
    queued(scheduler.offer(now, higher));
}

#[test]
fn a_class_below_the_floor_queues_one_request() {
    let now = Instant::now();
    let until = now + Duration::from_secs(1);
    let mut scheduler = Scheduler::new();
    scheduler.set_floor(1, until);
    queued(scheduler.offer(now, item(now, "a", 2)));
    assert_eq!(
        scheduler.offer(now, item(now, "b", 2)),
        Offer::Refused(Reason::Shed)
    );
    queued(scheduler.offer(now, item(now, "a", 1)));
    queued(scheduler.offer(now, item(now, "b", 1)));
    assert_eq!(scheduler.pressure(now), Some(2));
    queued(scheduler.offer(until, item(until, "b", 2)));
}

#[test]
fn a_request_put_back_stays_first_and_is_not_charged() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new();
    let mut first = item(now, "a", 1);
    first.tokens = 7;
    queued(scheduler.offer(now, first));
    queued(scheduler.offer(now, item(now, "a", 1)));
    let start = scheduler.next(now, Room::ANY).expect("work is queued");
    scheduler.put_back(start);
    let again = scheduler.next(now, Room::ANY).expect("work is queued");
    assert_eq!(again.item.tokens, 7);
    scheduler.settle(again.charge, 7);
}

#[test]
fn a_removed_request_is_not_started() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new();
    let (ticket, _) = queued(scheduler.offer(now, item(now, "a", 1)));
    assert!(scheduler.remove(ticket).is_some());
    assert!(scheduler.remove(ticket).is_none());
    assert!(scheduler.next(now, Room::ANY).is_none());
    assert_eq!(scheduler.snapshot(now).accounts, 0);
}

/// Free slots on reclaimable endpoints only.
const RECLAIMABLE_ONLY: Room = Room {
    standard: None,
    reclaimable: Some(4),
};

#[test]
fn a_lower_tier_without_room_starts_only_from_the_reserve() {
    let now = Instant::now();
    let high_only = Room {
        standard: Some(1),
        reclaimable: None,
    };
    let mut scheduler = Scheduler::new();
    queued(scheduler.offer(now, item(now, "a", 3)));
    assert!(scheduler.next(now, high_only).is_none());
    for round in 1..=9 {
        queued(scheduler.offer(now, item(now, "a", 1)));
        let start = scheduler.next(now, high_only).expect("work is queued");
        assert_eq!(start.item.tier, 1, "round {round}");
        assert_eq!(start.urgency, 1);
        scheduler.settle(start.charge, 100);
    }
    queued(scheduler.offer(now, item(now, "a", 1)));
    let start = scheduler.next(now, high_only).expect("work is queued");
    assert_eq!((start.item.tier, start.urgency), (3, 0));
    scheduler.settle(start.charge, 100);
}

#[test]
fn a_request_for_reclaimable_endpoints_does_not_wait_for_one_of_a_higher_tier() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new();
    queued(scheduler.offer(now, item(now, "a", 0)));
    assert!(scheduler.next(now, RECLAIMABLE_ONLY).is_none());
    let mut reclaimable_item = item(now, "a", 3);
    reclaimable_item.reclaimable = true;
    queued(scheduler.offer(now, reclaimable_item));
    let start = scheduler
        .next(now, RECLAIMABLE_ONLY)
        .expect("the request may run on a reclaimable endpoint");
    assert_eq!(start.item.tier, 3);
    scheduler.settle(start.charge, 100);
    let start = scheduler.next(now, Room::ANY).expect("work is queued");
    assert_eq!(start.item.tier, 0);
    scheduler.settle(start.charge, 100);
}

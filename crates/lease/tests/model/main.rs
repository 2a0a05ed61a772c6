//! Model check of the lease: processes with clocks of different rates, pauses at any point, lost
//! and late store messages, orders that reach the receiver late, and a store that returns from an older copy.
//!
//! The checks guard against two active holders, against two with one epoch, and against an order that is carried out after
//! one of a newer epoch or, without fencing, after a newer holder was recorded. What is recorded may be lost in a return, or
//! be an attempt of an earlier era that does not count; then a newer epoch is one that a process has held.

mod checker;
mod state;

use std::collections::BTreeSet;

use pathfinding::prelude::{bfs, bfs_reach};
use rstest::rstest;

use crate::checker::Checker;
use crate::state::{FENCING, NOT_FENCING, Receiver, State, TERMS, Variant};

#[rstest]
#[case::fencing(FENCING)]
#[case::not_fencing(NOT_FENCING)]
fn two_processes_never_violate_the_lease(#[case] receiver: Receiver) {
    let checker = Checker {
        variant: Variant::Correct,
        receiver,
        max_ticks: 8,
        max_renewals: 1,
        max_grants: 2,
        max_returns: 0,
        has_orders: true,
    };
    explore(&checker, &[false, true]);
}

#[rstest]
#[case::fencing(FENCING)]
#[case::not_fencing(NOT_FENCING)]
fn three_processes_never_violate_the_lease(#[case] receiver: Receiver) {
    let checker = Checker {
        variant: Variant::Correct,
        receiver,
        max_ticks: 6,
        max_renewals: 0,
        max_grants: 2,
        max_returns: 0,
        has_orders: true,
    };
    explore(&checker, &[false, true, true]);
}

/// Returns a checker of two processes with a store that returns from an older copy.
fn returning(variant: Variant, receiver: Receiver) -> Checker {
    Checker {
        variant,
        receiver,
        max_ticks: 8,
        max_renewals: 1,
        max_grants: 2,
        max_returns: 1,
        has_orders: true,
    }
}

/// Guards against two tenures with one epoch, and against two holders, across returns of the store.
#[rstest]
#[case::fencing(FENCING, 6, 0, 1, true)]
#[case::not_fencing(NOT_FENCING, 6, 0, 1, true)]
#[case::renewal(NOT_FENCING, 7, 1, 1, false)]
#[case::two_returns(NOT_FENCING, 6, 0, 2, false)]
fn two_processes_never_violate_the_lease_across_a_return(
    #[case] receiver: Receiver,
    #[case] max_ticks: u8,
    #[case] max_renewals: u64,
    #[case] max_returns: u64,
    #[case] has_orders: bool,
) {
    let checker = Checker {
        max_ticks,
        max_renewals,
        max_returns,
        has_orders,
        ..returning(Variant::Correct, receiver)
    };
    explore(&checker, &[false, true]);
}

fn explore(checker: &Checker, fast_clocks: &[bool]) {
    assert!(TERMS.covers_drift(0.1));
    let mut states = 0u64;
    let mut later_epoch_states = 0u64;
    let mut later_holder_states = 0u64;
    for state in bfs_reach(State::new(fast_clocks, checker.variant), |state| {
        checker.successors(state)
    }) {
        assert!(
            checker.is_valid(&state),
            "two active holders, one epoch held twice, or a late or reordered order: {state:#?}"
        );
        states += 1;
        later_epoch_states += u64::from(state.highest_epoch > 1);
        let holders: BTreeSet<_> = state.held.iter().map(|(_, process)| process).collect();
        later_holder_states += u64::from(holders.len() > 1);
    }
    println!(
        "lease model, {:?}, fast clocks {fast_clocks:?}, returns {}: {states} states, {later_epoch_states} with \
         an order of a later epoch, {later_holder_states} with a later holder",
        checker.receiver, checker.max_returns
    );
    let is_vacuous = checker.max_returns > 0 && later_holder_states == 0;
    assert!(
        !is_vacuous,
        "no second process holds the lease in any state"
    );
}

/// Asserts that two processes under a broken variant reach a state that must not occur.
fn assert_violated(checker: &Checker) {
    let variant = checker.variant;
    let start = State::new(&[false, true], variant);
    let trace = bfs(
        &start,
        |state| checker.successors(state),
        |state| !checker.is_valid(state),
    );
    let trace = trace.expect("the broken variant reaches a violation");
    println!(
        "lease model, {variant:?}: violation after {} steps",
        trace.len() - 1
    );
}

#[rstest]
#[case(Variant::IdleNotClosed)]
#[case(Variant::TermFromResponse)]
#[case(Variant::PermitUnchecked)]
#[case(Variant::ShortWait)]
#[case(Variant::NoMargin)]
fn broken_variant_violates_the_lease_with_a_receiver_without_fencing(#[case] variant: Variant) {
    let checker = Checker {
        variant,
        receiver: NOT_FENCING,
        max_ticks: 8,
        max_renewals: 1,
        max_grants: 2,
        max_returns: 0,
        has_orders: true,
    };
    assert_violated(&checker);
}

/// Guards against a check that misses a broken rule on returns.
#[rstest]
#[case(Variant::EpochFromRow)]
#[case(Variant::RenewalAfterTerm)]
#[case(Variant::AttemptInLaterEra)]
#[case(Variant::AbsentRowUnwaited)]
fn broken_variant_violates_the_lease_across_a_return(#[case] variant: Variant) {
    let checker = returning(variant, NOT_FENCING);
    assert_violated(&checker);
}

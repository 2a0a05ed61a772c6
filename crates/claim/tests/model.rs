//! Model check of claims: submissions of one request to two hosts, with lost and late store
//! messages, crashes, and hosts that are wrongly taken to have ended.
//!
//! The checks guard against a second execution and against an outcome told to a caller that is
//! not true.

use std::time::SystemTime;

use agate_claim::{
    Decision, Ending, Record, Response, Settlement, abandon, decide, digest, end, settle,
};
use agate_model::key::Digest;
use agate_model::refusal::Execution;
use pathfinding::prelude::{bfs, bfs_reach};

/// Host that receives each submission. The third submission is claimed by the replacement of the
/// first host if that has crashed.
const HOSTS: [usize; 3] = [0, 1, 0];
const SUBMISSIONS: usize = HOSTS.len();

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    /// The rules as implemented.
    Correct,
    /// A claim does not check that the row is absent.
    AbsenceUnchecked,
    /// A claim is released although the attempt may have been sent.
    ReleaseAfterSend,
    /// A host that ends a claim takes any claim in the unknown state for its own.
    EndWithoutNonce,
    /// A host that finds no row after a lost response sends the request as if it held the claim.
    SendWhenAbsent,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Phase {
    /// The submission has not arrived yet.
    Waiting,
    /// The claim is being written.
    Claiming,
    /// The claim is recorded, and nothing is sent yet.
    Claimed,
    /// The request may have been sent.
    Sent,
    /// The row is being deleted, as nothing was sent.
    Releasing,
    /// The response is being recorded.
    Finishing,
    /// The unknown outcome is being recorded.
    MarkingUnknown,
    /// Nothing remains to be done, or the host has crashed.
    Finished,
}

/// What the caller of a submission was told.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Outcome {
    Pending,
    NotRun,
    Unknown,
    /// Response of the execution by this submission.
    Response(u8),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Row {
    record: Record,
    revision: u8,
}

/// A transaction in flight to the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Message {
    submission: usize,
    /// Revision that the row must have; `None` if it must be absent.
    check: Option<u8>,
    /// Claim to write; `None` deletes the row.
    value: Option<Record>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    row: Option<Row>,
    /// Revision of the last commit.
    revision: u8,
    phases: [Phase; SUBMISSIONS],
    outcomes: [Outcome; SUBMISSIONS],
    executed: [bool; SUBMISSIONS],
    /// Newest revision of its own row that each submission knows of.
    known_revisions: [Option<u8>; SUBMISSIONS],
    messages: Vec<Message>,
    /// Whether the first host has crashed; it does so at most once.
    crashed: bool,
}

fn request_digest() -> Digest {
    digest::request("POST", "/bids", b"10")
}

fn nonce(submission: usize) -> String {
    submission.to_string()
}

fn response(submission: usize) -> Response {
    Response {
        status: 200,
        headers: Vec::new(),
        body: vec![u8::try_from(submission).expect("few submissions")],
    }
}

fn claim(submission: usize) -> Record {
    let host = HOSTS[submission].to_string();
    Record::running(
        request_digest(),
        nonce(submission),
        SystemTime::UNIX_EPOCH,
        host,
        nonce(submission),
    )
}

impl State {
    fn new() -> Self {
        Self {
            row: None,
            revision: 0,
            phases: std::array::from_fn(|_| Phase::Waiting),
            outcomes: std::array::from_fn(|_| Outcome::Pending),
            executed: [false; SUBMISSIONS],
            known_revisions: [None; SUBMISSIONS],
            messages: Vec::new(),
            crashed: false,
        }
    }

    fn record(&self) -> Option<&Record> {
        self.row.as_ref().map(|row| &row.record)
    }

    /// Records what the caller is told; only the first outcome reaches it.
    fn report(&mut self, submission: usize, outcome: Outcome) {
        if self.outcomes[submission] == Outcome::Pending {
            self.outcomes[submission] = outcome;
        }
    }

    fn follow(&mut self, submission: usize, decision: Decision) {
        let outcome = match decision {
            Decision::Claim => return,
            Decision::Replay(response) => Outcome::Response(response.body[0]),
            Decision::Refuse(reason) => match agate_claim::execution(reason) {
                Execution::NotRun => Outcome::NotRun,
                Execution::Unknown => Outcome::Unknown,
            },
        };
        self.report(submission, outcome);
        self.phases[submission] = Phase::Finished;
    }

    fn send(&mut self, message: Message) {
        if !self.messages.contains(&message) {
            self.messages.push(message);
        }
        self.messages.sort_by_key(|message| format!("{message:?}"));
    }

    /// Applies a transaction and returns the new revision; `None` if its check failed.
    fn commit(&mut self, message: &Message, variant: Variant) -> Option<u8> {
        let found = self.row.as_ref().map(|row| row.revision);
        let is_claim = message.check.is_none();
        if found != message.check && !(is_claim && variant == Variant::AbsenceUnchecked) {
            return None;
        }
        self.revision += 1;
        self.row = message.value.clone().map(|record| Row {
            record,
            revision: self.revision,
        });
        Some(self.revision)
    }

    fn successors(&self, variant: Variant) -> Vec<State> {
        let mut next = Vec::new();
        for submission in 0..SUBMISSIONS {
            self.step(submission, variant, &mut next);
        }
        self.deliver(variant, &mut next);
        self.crash(&mut next);
        self.suspect(&mut next);
        next
    }

    fn with(&self, change: impl FnOnce(&mut State), next: &mut Vec<State>) {
        let mut state = self.clone();
        change(&mut state);
        if state != *self {
            next.push(state);
        }
    }

    fn step(&self, submission: usize, variant: Variant, next: &mut Vec<State>) {
        match self.phases[submission] {
            Phase::Waiting => self.with(|state| state.arrive(submission), next),
            Phase::Claiming => self.step_claiming(submission, variant, next),
            Phase::Claimed => self.step_claimed(submission, next),
            Phase::Sent => self.step_sent(submission, variant, next),
            Phase::Releasing | Phase::Finishing | Phase::MarkingUnknown => {
                self.with(|state| state.write_end(submission), next);
                self.with(|state| state.read_end(submission, variant), next);
            }
            Phase::Finished => {}
        }
    }

    fn arrive(&mut self, submission: usize) {
        let decision = decide(self.record(), &request_digest());
        if decision == Decision::Claim {
            self.phases[submission] = Phase::Claiming;
            let value = Some(claim(submission));
            self.send(Message {
                submission,
                check: None,
                value,
            });
        } else {
            self.follow(submission, decision);
        }
    }

    fn step_claiming(&self, submission: usize, variant: Variant, next: &mut Vec<State>) {
        // The response of the store is lost, and the row is read.
        self.with(
            |state| match settle(state.record(), &request_digest(), &nonce(submission)) {
                Settlement::Claimed => {
                    state.hold(submission, state.row.as_ref().map(|row| row.revision));
                }
                Settlement::Absent if variant == Variant::SendWhenAbsent => {
                    state.hold(submission, None);
                }
                Settlement::Absent => {
                    let value = Some(claim(submission));
                    state.send(Message {
                        submission,
                        check: None,
                        value,
                    });
                }
                Settlement::Other(decision) => state.follow(submission, decision),
            },
            next,
        );
        // The host gives up.
        self.with(
            |state| {
                state.report(submission, Outcome::NotRun);
                state.phases[submission] = Phase::Releasing;
            },
            next,
        );
    }

    fn hold(&mut self, submission: usize, revision: Option<u8>) {
        self.phases[submission] = Phase::Claimed;
        self.known_revisions[submission] = revision;
    }

    fn step_claimed(&self, submission: usize, next: &mut Vec<State>) {
        // The connection is refused, so nothing is sent.
        self.with(
            |state| {
                state.report(submission, Outcome::NotRun);
                state.phases[submission] = Phase::Releasing;
            },
            next,
        );
        for executed in [false, true] {
            self.with(
                |state| {
                    state.phases[submission] = Phase::Sent;
                    state.executed[submission] = executed;
                },
                next,
            );
        }
    }

    fn step_sent(&self, submission: usize, variant: Variant, next: &mut Vec<State>) {
        if self.executed[submission] {
            let id = u8::try_from(submission).expect("few submissions");
            self.with(
                |state| {
                    state.report(submission, Outcome::Response(id));
                    state.phases[submission] = Phase::Finishing;
                },
                next,
            );
        }
        self.with(
            |state| {
                state.report(submission, Outcome::Unknown);
                state.phases[submission] = match variant {
                    Variant::ReleaseAfterSend => Phase::Releasing,
                    _ => Phase::MarkingUnknown,
                };
            },
            next,
        );
    }

    fn write_end(&mut self, submission: usize) {
        let Some(check) = self.known_revisions[submission] else {
            return;
        };
        let own = claim(submission);
        let value = match self.phases[submission] {
            Phase::Finishing => Some(own.done(response(submission))),
            Phase::MarkingUnknown => Some(own.unknown()),
            _ => None,
        };
        let check = Some(check);
        self.send(Message {
            submission,
            check,
            value,
        });
    }

    /// Reads the row after the response to the write that ends the claim was lost, or the write
    /// conflicted.
    fn read_end(&mut self, submission: usize, variant: Variant) {
        let own = nonce(submission);
        let mut ending = end(self.record(), &own);
        let is_unknown = self
            .record()
            .is_some_and(|record| record.state == agate_claim::State::Unknown);
        if variant == Variant::EndWithoutNonce && is_unknown {
            ending = Ending::Write;
        }
        match ending {
            Ending::Write => {
                self.known_revisions[submission] = self.row.as_ref().map(|row| row.revision);
            }
            // A claim that is still in flight may appear later, so the row is read again.
            Ending::Settled if self.is_claim_in_flight(submission) => {}
            Ending::Settled => self.phases[submission] = Phase::Finished,
        }
    }

    fn is_claim_in_flight(&self, submission: usize) -> bool {
        self.messages
            .iter()
            .any(|message| message.submission == submission && message.check.is_none())
    }

    /// Adds the states after a transaction took effect, with its response received or lost, or was
    /// lost itself.
    fn deliver(&self, variant: Variant, next: &mut Vec<State>) {
        for index in 0..self.messages.len() {
            for (takes_effect, is_received) in [(false, false), (true, false), (true, true)] {
                let mut state = self.clone();
                let message = state.messages.remove(index);
                let revision = takes_effect
                    .then(|| state.commit(&message, variant))
                    .flatten();
                if let (true, Some(revision)) = (is_received, revision) {
                    state.receive(&message, revision);
                }
                next.push(state);
            }
        }
    }

    fn receive(&mut self, message: &Message, revision: u8) {
        let submission = message.submission;
        match self.phases[submission] {
            Phase::Claiming if message.check.is_none() => self.hold(submission, Some(revision)),
            Phase::Releasing | Phase::Finishing | Phase::MarkingUnknown
                if message.check.is_some() =>
            {
                self.phases[submission] = Phase::Finished;
            }
            _ => {}
        }
    }

    /// Adds the state after the first host crashed with the submissions that it had started.
    fn crash(&self, next: &mut Vec<State>) {
        if self.crashed {
            return;
        }
        self.with(
            |state| {
                state.crashed = true;
                for submission in (0..SUBMISSIONS).filter(|submission| HOSTS[*submission] == 0) {
                    if state.phases[submission] != Phase::Waiting {
                        state.phases[submission] = Phase::Finished;
                    }
                }
            },
            next,
        );
    }

    /// Adds the state after some host took the claim's host to have ended, rightly or not.
    fn suspect(&self, next: &mut Vec<State>) {
        let Some(row) = &self.row else { return };
        let Some(value) = abandon(&row.record, |_, _| true) else {
            return;
        };
        self.with(
            |state| {
                state.revision += 1;
                let revision = state.revision;
                state.row = Some(Row {
                    record: value,
                    revision,
                });
            },
            next,
        );
    }

    fn is_valid(&self) -> bool {
        let executions = self.executed.iter().filter(|executed| **executed).count();
        executions <= 1 && (0..SUBMISSIONS).all(|submission| self.is_truthful(submission))
    }

    fn is_truthful(&self, submission: usize) -> bool {
        match self.outcomes[submission] {
            Outcome::NotRun => !self.executed[submission],
            Outcome::Response(executor) => self.executed[usize::from(executor)],
            Outcome::Pending | Outcome::Unknown => true,
        }
    }
}

/// Bound on the store's revisions, which keeps the state space finite.
const MAX_REVISION: u8 = 6;
/// Bound on the messages in flight at once.
const MAX_MESSAGES: usize = 3;

fn successors(state: &State, variant: Variant) -> Vec<State> {
    let mut next = state.successors(variant);
    next.retain(|state| state.revision <= MAX_REVISION && state.messages.len() <= MAX_MESSAGES);
    next
}

#[test]
fn request_is_executed_at_most_once_and_callers_are_told_the_truth() {
    let mut states = 0u64;
    let mut replays = 0u64;
    for state in bfs_reach(State::new(), |state| successors(state, Variant::Correct)) {
        assert!(
            state.is_valid(),
            "two executions, or an untrue outcome: {state:#?}"
        );
        states += 1;
        replays += u64::from(state.outcomes[1] == Outcome::Response(0));
    }
    println!("claim model: {states} states, {replays} with a replay");
    assert!(replays > 0, "the model must reach a replay");
}

#[rstest::rstest]
#[case(Variant::AbsenceUnchecked)]
#[case(Variant::ReleaseAfterSend)]
#[case(Variant::EndWithoutNonce)]
#[case(Variant::SendWhenAbsent)]
fn broken_variant_violates_the_claim(#[case] variant: Variant) {
    let trace = bfs(
        &State::new(),
        |state| successors(state, variant),
        |state| !state.is_valid(),
    );
    let trace = trace.expect("the broken variant reaches a violation");
    println!(
        "claim model, {variant:?}: violation after {} steps",
        trace.len() - 1
    );
}

//! Model check: submissions of one request to two hosts, with lost and late
//! store messages, crashes and hosts that are wrongly held to be gone.

use std::time::SystemTime;

use agate_claim::{
    Answer, Decision, Ending, Record, Settlement, abandon, decide, digest, end, settle,
};
use agate_model::key::Digest;
use agate_model::refusal::Execution;
use pathfinding::prelude::{bfs, bfs_reach};

/// Submissions, by the host that receives them. The third is claimed by a
/// replacement of the first host if that has crashed.
const HOSTS: [usize; 3] = [0, 1, 0];
const COUNT: usize = HOSTS.len();

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Variant {
    Right,
    /// A claim does not check that the row is absent.
    Unchecked,
    /// A claim is released although the attempt may have been sent.
    ReleaseAfterSend,
    /// A host takes any unknown claim for its own when it ends one.
    EndWithoutNonce,
    /// A row that was read absent is taken for "never claimed", and sent under a new claim.
    AbsentIsNotRun,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Phase {
    Waiting,
    Claiming,
    Claimed,
    Sent,
    /// The row has to be deleted: nothing was sent.
    Releasing,
    /// The row has to show the answer.
    Finishing,
    /// The row has to show that the outcome is unknown.
    Losing,
    Over,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Said {
    Nothing,
    NotRun,
    Unknown,
    /// Answer of the execution by this submission.
    Answer(u8),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Row {
    record: Record,
    revision: u8,
}

/// A transaction on its way to the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Message {
    from: usize,
    check: Option<u8>,
    value: Option<Record>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    row: Option<Row>,
    revision: u8,
    phases: [Phase; COUNT],
    said: [Said; COUNT],
    executed: [bool; COUNT],
    /// Revision that the submission knows of its own row.
    known: [Option<u8>; COUNT],
    messages: Vec<Message>,
    /// Current run of each host; a crash begins another.
    crashed: bool,
}

fn body() -> Digest {
    digest::request("POST", "/bids", b"10")
}

fn nonce(submission: usize) -> String {
    submission.to_string()
}

fn answer(submission: usize) -> Answer {
    Answer {
        status: 200,
        headers: Vec::new(),
        body: vec![u8::try_from(submission).expect("few submissions")],
    }
}

fn claim(submission: usize) -> Record {
    let host = HOSTS[submission].to_string();
    Record::running(
        body(),
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
            said: std::array::from_fn(|_| Said::Nothing),
            executed: [false; COUNT],
            known: [None; COUNT],
            messages: Vec::new(),
            crashed: false,
        }
    }

    fn record(&self) -> Option<&Record> {
        self.row.as_ref().map(|row| &row.record)
    }

    fn say(&mut self, submission: usize, said: Said) {
        if self.said[submission] == Said::Nothing {
            self.said[submission] = said;
        }
    }

    fn follow(&mut self, submission: usize, decision: Decision) {
        let said = match decision {
            Decision::Claim => return,
            Decision::Replay(answer) => Said::Answer(answer.body[0]),
            Decision::Refuse(reason) => match agate_claim::execution(reason) {
                Execution::NotRun => Said::NotRun,
                Execution::Unknown => Said::Unknown,
            },
        };
        self.say(submission, said);
        self.phases[submission] = Phase::Over;
    }

    fn post(&mut self, message: Message) {
        if !self.messages.contains(&message) {
            self.messages.push(message);
        }
        self.messages.sort_by_key(|it| format!("{it:?}"));
    }

    /// Effect of a transaction; the new revision if its check held.
    fn commit(&mut self, message: &Message, variant: Variant) -> Option<u8> {
        let found = self.row.as_ref().map(|row| row.revision);
        let is_claim = message.check.is_none();
        if found != message.check && !(is_claim && variant == Variant::Unchecked) {
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
        for submission in 0..COUNT {
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
            Phase::Waiting => self.with(|it| it.arrive(submission), next),
            Phase::Claiming => self.step_claiming(submission, variant, next),
            Phase::Claimed => self.step_claimed(submission, next),
            Phase::Sent => self.step_sent(submission, variant, next),
            Phase::Releasing | Phase::Finishing | Phase::Losing => {
                self.with(|it| it.write_end(submission), next);
                self.with(|it| it.read_end(submission, variant), next);
            }
            Phase::Over => {}
        }
    }

    fn arrive(&mut self, submission: usize) {
        let decision = decide(self.record(), &body());
        if decision == Decision::Claim {
            self.phases[submission] = Phase::Claiming;
            let value = Some(claim(submission));
            self.post(Message {
                from: submission,
                check: None,
                value,
            });
        } else {
            self.follow(submission, decision);
        }
    }

    fn step_claiming(&self, submission: usize, variant: Variant, next: &mut Vec<State>) {
        // The answer of the store is lost, and the row is read.
        self.with(
            |it| match settle(it.record(), &body(), &nonce(submission)) {
                Settlement::Claimed => it.hold(submission, it.row.as_ref().map(|row| row.revision)),
                Settlement::Absent if variant == Variant::AbsentIsNotRun => {
                    it.hold(submission, None);
                }
                Settlement::Absent => {
                    let value = Some(claim(submission));
                    it.post(Message {
                        from: submission,
                        check: None,
                        value,
                    });
                }
                Settlement::Other(decision) => it.follow(submission, decision),
            },
            next,
        );
        // The host gives up.
        self.with(
            |it| {
                it.say(submission, Said::NotRun);
                it.phases[submission] = Phase::Releasing;
            },
            next,
        );
    }

    fn hold(&mut self, submission: usize, revision: Option<u8>) {
        self.phases[submission] = Phase::Claimed;
        self.known[submission] = revision;
    }

    fn step_claimed(&self, submission: usize, next: &mut Vec<State>) {
        // The connection is refused, so nothing is sent.
        self.with(
            |it| {
                it.say(submission, Said::NotRun);
                it.phases[submission] = Phase::Releasing;
            },
            next,
        );
        for executed in [false, true] {
            self.with(
                |it| {
                    it.phases[submission] = Phase::Sent;
                    it.executed[submission] = executed;
                },
                next,
            );
        }
    }

    fn step_sent(&self, submission: usize, variant: Variant, next: &mut Vec<State>) {
        if self.executed[submission] {
            let id = u8::try_from(submission).expect("few submissions");
            self.with(
                |it| {
                    it.say(submission, Said::Answer(id));
                    it.phases[submission] = Phase::Finishing;
                },
                next,
            );
        }
        self.with(
            |it| {
                it.say(submission, Said::Unknown);
                it.phases[submission] = match variant {
                    Variant::ReleaseAfterSend => Phase::Releasing,
                    _ => Phase::Losing,
                };
            },
            next,
        );
    }

    fn write_end(&mut self, submission: usize) {
        let Some(check) = self.known[submission] else {
            return;
        };
        let own = claim(submission);
        let value = match self.phases[submission] {
            Phase::Finishing => Some(own.done(answer(submission))),
            Phase::Losing => Some(own.unknown()),
            _ => None,
        };
        let check = Some(check);
        self.post(Message {
            from: submission,
            check,
            value,
        });
    }

    /// The answer to the end is lost, or conflicted: the row is read.
    fn read_end(&mut self, submission: usize, variant: Variant) {
        let own = nonce(submission);
        let mut ending = end(self.record(), &own);
        let is_unknown = self
            .record()
            .is_some_and(|it| it.state == agate_claim::State::Unknown);
        if variant == Variant::EndWithoutNonce && is_unknown {
            ending = Ending::Write;
        }
        match ending {
            Ending::Write => self.known[submission] = self.row.as_ref().map(|row| row.revision),
            // A claim that may still be on its way is looked for again later.
            Ending::Settled if self.is_claim_in_flight(submission) => {}
            Ending::Settled => self.phases[submission] = Phase::Over,
        }
    }

    fn is_claim_in_flight(&self, submission: usize) -> bool {
        self.messages
            .iter()
            .any(|it| it.from == submission && it.check.is_none())
    }

    /// A transaction takes effect; its answer arrives or is lost. Or it never arrives.
    fn deliver(&self, variant: Variant, next: &mut Vec<State>) {
        for index in 0..self.messages.len() {
            for (takes_effect, answered) in [(false, false), (true, false), (true, true)] {
                let mut state = self.clone();
                let message = state.messages.remove(index);
                let revision = takes_effect
                    .then(|| state.commit(&message, variant))
                    .flatten();
                if let (true, Some(revision)) = (answered, revision) {
                    state.answered(&message, revision);
                }
                next.push(state);
            }
        }
    }

    fn answered(&mut self, message: &Message, revision: u8) {
        let submission = message.from;
        match self.phases[submission] {
            Phase::Claiming if message.check.is_none() => self.hold(submission, Some(revision)),
            Phase::Releasing | Phase::Finishing | Phase::Losing if message.check.is_some() => {
                self.phases[submission] = Phase::Over;
            }
            _ => {}
        }
    }

    /// The first host crashes with the submissions that it has begun.
    fn crash(&self, next: &mut Vec<State>) {
        if self.crashed {
            return;
        }
        self.with(
            |it| {
                it.crashed = true;
                for submission in (0..COUNT).filter(|it| HOSTS[*it] == 0) {
                    if it.phases[submission] != Phase::Waiting {
                        it.phases[submission] = Phase::Over;
                    }
                }
            },
            next,
        );
    }

    /// Some host takes the claim's host for gone, rightly or not.
    fn suspect(&self, next: &mut Vec<State>) {
        let Some(row) = &self.row else { return };
        let Some(value) = abandon(&row.record, |_, _| true) else {
            return;
        };
        self.with(
            |it| {
                it.revision += 1;
                let revision = it.revision;
                it.row = Some(Row {
                    record: value,
                    revision,
                });
            },
            next,
        );
    }

    fn is_valid(&self) -> bool {
        let executions = self.executed.iter().filter(|it| **it).count();
        executions <= 1 && (0..COUNT).all(|it| self.is_truthful(it))
    }

    fn is_truthful(&self, submission: usize) -> bool {
        match self.said[submission] {
            Said::NotRun => !self.executed[submission],
            Said::Answer(by) => self.executed[usize::from(by)],
            Said::Nothing | Said::Unknown => true,
        }
    }
}

/// Bound on the store's revisions, which keeps the state space finite.
const REVISIONS: u8 = 6;
/// Bound on messages on their way at once.
const MESSAGES: usize = 3;

fn successors(state: &State, variant: Variant) -> Vec<State> {
    let mut next = state.successors(variant);
    next.retain(|it| it.revision <= REVISIONS && it.messages.len() <= MESSAGES);
    next
}

#[test]
fn at_most_one_execution_and_true_answers() {
    let mut states = 0u64;
    let mut replays = 0u64;
    for state in bfs_reach(State::new(), |it| successors(it, Variant::Right)) {
        assert!(state.is_valid(), "{state:#?}");
        states += 1;
        replays += u64::from(state.said[1] == Said::Answer(0));
    }
    println!("claim model: {states} states, {replays} with a replay");
    assert!(replays > 0, "the model must reach a replay");
}

#[rstest::rstest]
#[case(Variant::Unchecked)]
#[case(Variant::ReleaseAfterSend)]
#[case(Variant::EndWithoutNonce)]
#[case(Variant::AbsentIsNotRun)]
fn broken_variant_is_caught(#[case] variant: Variant) {
    let trace = bfs(
        &State::new(),
        |it| successors(it, variant),
        |it| !it.is_valid(),
    );
    let trace = trace.expect("a violation");
    println!(
        "claim model, {variant:?}: violation after {} steps",
        trace.len() - 1
    );
}

//! Steps from one state of the model to the next, and what must hold in each.

use std::time::Instant;

use agate_lease::{Attempt, Candidate, Entry, Holder, Renewal, Settlement, Verdict};
use agate_model::revision;

use crate::state::{
    FLIGHT_TICKS, IDLE_TICKS, Message, Order, Receiver, Role, Stage, State, Variant, terms,
};

pub(crate) struct Checker {
    pub(crate) variant: Variant,
    pub(crate) receiver: Receiver,
    /// Bound on real time, in ticks.
    pub(crate) max_ticks: u8,
    /// Bound on the renewals in one tenure.
    pub(crate) max_renewals: u64,
    /// Bound on the changes of holder; the last tenure is not renewed.
    pub(crate) max_grants: u64,
    /// Bound on the returns of the store.
    pub(crate) max_returns: u64,
    /// Whether holders send orders; without them, more renewals and returns can be explored.
    pub(crate) has_orders: bool,
}

impl Checker {
    pub(crate) fn successors(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        for process in 0..state.processes.len() {
            self.step_role(state, process, &mut next);
            if self.has_orders {
                self.step_order(state, process, &mut next);
            }
        }
        self.deliver(state, &mut next);
        self.arrive(state, &mut next);
        self.tick(state, &mut next);
        self.return_from_copies(state, &mut next);
        next.retain(|new| new != state && new.grants <= self.max_grants);
        for new in &mut next {
            if new.era == self.max_returns {
                new.copies.clear();
                new.drop_stale_messages();
            }
            if self.max_returns > 0 {
                new.record_held();
            }
        }
        next
    }

    /// Adds the states after the store returned from each copy. What the copy has is of the new era, as clients see it.
    pub(crate) fn return_from_copies(&self, state: &State, next: &mut Vec<State>) {
        if state.era == self.max_returns {
            return;
        }
        let present = std::iter::once(&state.row);
        for (index, copy) in state.copies.iter().chain(present).enumerate() {
            let mut new = state.clone();
            new.era += 1;
            new.copies.truncate(index);
            let renew =
                |old| revision::join(new.era, revision::number(old)).expect("eras are small");
            new.row = copy.clone().map(|entry| Entry {
                revision: renew(entry.revision),
                ..entry
            });
            next.push(new);
        }
    }

    pub(crate) fn tick(&self, state: &State, next: &mut Vec<State>) {
        let is_due = |order: &Order| state.now - order.sent_at >= FLIGHT_TICKS;
        if state.now < self.max_ticks && !state.orders.iter().any(is_due) {
            let mut state = state.clone();
            state.now += 1;
            next.push(state);
        }
    }

    pub(crate) fn step_role(&self, state: &State, process: usize, next: &mut Vec<State>) {
        let now = state.clock(process);
        let is_last = state.grants == self.max_grants;
        let mut new = state.clone();
        match &mut new.processes[process].role {
            Role::Candidate(_) | Role::Acquiring(_) if is_last && !state.is_own(process) => {}
            Role::Candidate(candidate) => {
                candidate.observe_revision(state.revision());
                let is_unwaited = self.variant == Variant::AbsentRowUnwaited && state.row.is_none();
                let verdict = candidate.observe(state.row.as_ref(), now);
                if verdict == Verdict::Acquire || is_unwaited {
                    let nonce = format!("{process}/{}", state.revision());
                    let mut attempt = candidate.acquire(state.row.as_ref(), nonce, now);
                    if self.variant == Variant::EpochFromRow {
                        attempt.row.epoch = state.epoch() + 1;
                    }
                    self.start_acquire(&mut new, process, attempt);
                }
                next.push(new);
            }
            Role::Acquiring(attempt) => {
                let attempt = attempt.clone();
                let found = self.as_known(state.row.as_ref(), &state.processes[process].role);
                new.processes[process].role = match attempt.settle(found.as_ref()) {
                    Settlement::Held(holder) => Role::Holder(self.started_holder(*holder, now)),
                    Settlement::Unchanged => {
                        self.start_acquire(&mut new, process, attempt);
                        next.push(new);
                        return;
                    }
                    Settlement::Lost => self.candidate(process),
                };
                next.push(new);
            }
            Role::Holder(holder) => {
                let mut settled = state.clone();
                let found = self.as_known(state.row.as_ref(), &state.processes[process].role);
                if let Role::Holder(holder) = &mut settled.processes[process].role
                    && holder.settle(found.as_ref(), now).is_err()
                {
                    settled.processes[process].role = self.candidate(process);
                }
                next.push(settled);
                let renewal = holder.renew(now);
                if renewal.row.renewals <= self.max_renewals && !is_last {
                    new.send(renewal_message(process, renewal));
                    next.push(new);
                }
                self.release(state, process, next);
            }
        }
    }

    /// Adds the state after a holder with nothing in flight released the lease.
    pub(crate) fn release(&self, state: &State, process: usize, next: &mut Vec<State>) {
        let has_order = !matches!(
            state.processes[process].stage,
            Stage::None | Stage::Finished
        );
        let Role::Holder(holder) = &state.processes[process].role else {
            return;
        };
        let is_in_flight = state
            .orders
            .iter()
            .any(|order| order.epoch == holder.epoch());
        if has_order || is_in_flight {
            return;
        }
        let mut new = state.clone();
        new.send(renewal_message(process, holder.clone().release()));
        new.processes[process].role = self.candidate(process);
        next.push(new);
    }

    /// Returns the row as a process takes it: one that ignores eras takes it for one of the era that it knows.
    pub(crate) fn as_known(&self, found: Option<&Entry>, role: &Role) -> Option<Entry> {
        let known = match (self.variant, role) {
            (Variant::RenewalAfterTerm, Role::Holder(holder)) => holder.revision(),
            (Variant::AttemptInLaterEra, Role::Acquiring(attempt)) => attempt.row.epoch,
            _ => return found.cloned(),
        };
        found.cloned().map(|entry| {
            let number = revision::number(entry.revision);
            let revision = revision::join(revision::era(known), number);
            Entry {
                revision: revision.expect("eras are small"),
                ..entry
            }
        })
    }

    pub(crate) fn candidate(&self, process: usize) -> Role {
        let terms = terms(self.variant);
        Role::Candidate(Candidate::new(
            terms,
            process.to_string(),
            "incarnation".to_owned(),
        ))
    }

    /// Returns the holder once the response to its acquisition has arrived, possibly late.
    pub(crate) fn started_holder(&self, mut holder: Holder, now: Instant) -> Holder {
        if self.variant == Variant::TermFromResponse {
            let renewal = holder.renew(now);
            holder
                .renewed(renewal.check, now)
                .expect("the era is the same");
        }
        holder
    }

    pub(crate) fn start_acquire(&self, state: &mut State, process: usize, attempt: Attempt) {
        state.send(Message {
            sender: process,
            check: attempt.check.map(revision::number),
            row: attempt.row.clone(),
        });
        state.processes[process].role = Role::Acquiring(attempt);
    }

    pub(crate) fn step_order(&self, state: &State, process: usize, next: &mut Vec<State>) {
        let now = state.clock(process);
        let mut new = state.clone();
        let stage = match &state.processes[process].stage {
            Stage::None => {
                let Role::Holder(holder) = &state.processes[process].role else {
                    return;
                };
                let Some(ticket) = holder.ticket(now) else {
                    return;
                };
                // The store responds at once, or the order is not sent. A late response has the
                // same effect as a pause in the next stage.
                if state.number() != Some(revision::number(ticket.revision())) {
                    return;
                }
                Stage::Recorded(ticket.recorded())
            }
            Stage::Recorded(permit) => Stage::Connected {
                permit: *permit,
                connected_at: state.now,
            },
            Stage::Connected {
                permit,
                connected_at,
            } => {
                if permit.is_valid(now) || self.variant == Variant::PermitUnchecked {
                    Stage::Checked {
                        epoch: permit.epoch(),
                        connected_at: *connected_at,
                    }
                } else {
                    Stage::Finished
                }
            }
            Stage::Checked {
                epoch,
                connected_at,
            } => {
                if !self.is_closed(state.now - connected_at) {
                    new.orders.push(Order {
                        epoch: *epoch,
                        sent_at: state.now,
                    });
                }
                Stage::Finished
            }
            Stage::Finished => return,
        };
        new.processes[process].stage = stage;
        next.push(new);
    }

    pub(crate) fn is_closed(&self, idle_ticks: u8) -> bool {
        self.receiver.closes_idle
            && self.variant != Variant::IdleNotClosed
            && idle_ticks > IDLE_TICKS
    }

    /// Adds the states after a transaction took effect, with its response received or lost. One
    /// that never takes effect stays in flight.
    pub(crate) fn deliver(&self, state: &State, next: &mut Vec<State>) {
        for index in 0..state.messages.len() {
            let mut new = state.clone();
            let message = new.messages.remove(index);
            if state.number() != message.check {
                continue;
            }
            let entry = Entry {
                row: message.row,
                revision: state.revision() + 1,
            };
            let is_grant = entry.row.renewals == 0 && !entry.row.released;
            new.grants += u64::from(is_grant);
            new.copies.push(state.row.clone());
            new.row = Some(entry.clone());
            next.push(new.clone());
            self.respond(&mut new, message.sender, &entry);
            next.push(new);
        }
    }

    pub(crate) fn respond(&self, state: &mut State, process: usize, entry: &Entry) {
        let now = state.clock(process);
        let role = &mut state.processes[process].role;
        let found = self.as_known(Some(entry), role);
        let revision = found.as_ref().map_or(0, |entry| entry.revision);
        let is_lost = match role {
            Role::Acquiring(attempt) if attempt.row == entry.row => {
                match attempt.clone().committed(revision) {
                    Ok(holder) => {
                        *role = Role::Holder(self.started_holder(holder, now));
                        false
                    }
                    Err(_) => true,
                }
            }
            Role::Holder(holder) if !entry.row.released => {
                holder.settle(found.as_ref(), now).is_err() && self.max_returns > 0
            }
            _ => false,
        };
        if is_lost {
            state.processes[process].role = self.candidate(process);
        }
    }

    /// Adds the states after an order reached the receiver. A lost order has no effect and is left
    /// out.
    pub(crate) fn arrive(&self, state: &State, next: &mut Vec<State>) {
        for index in 0..state.orders.len() {
            let mut arrived = state.clone();
            let order = arrived.orders.remove(index);
            if self.receiver.checks_epoch && order.epoch < arrived.highest_epoch {
                next.push(arrived);
                continue;
            }
            arrived.late |= match self.max_returns {
                0 => order.epoch < arrived.epoch(),
                _ => arrived
                    .held
                    .last()
                    .is_some_and(|(held, _)| order.epoch < *held),
            };
            arrived.reordered |= order.epoch < arrived.highest_epoch;
            arrived.highest_epoch = arrived.highest_epoch.max(order.epoch);
            next.push(arrived);
        }
    }

    pub(crate) fn is_valid(&self, state: &State) -> bool {
        let is_late = state.late && !self.receiver.checks_epoch;
        let is_shared = state.has_shared_epoch();
        !state.reordered && !is_late && !is_shared && state.active_holders() <= 1
    }
}

pub(crate) fn renewal_message(sender: usize, renewal: Renewal) -> Message {
    Message {
        sender,
        check: Some(revision::number(renewal.check)),
        row: renewal.row,
    }
}

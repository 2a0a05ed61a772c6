//! Budget of a process and the shares that its connections have in it.

use std::cell::RefCell;
use std::rc::Rc;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::size::Size;
use crate::state::{Key, Purpose, Scarce, Standing, State};

/// A shortage ends when less than this part of the bytes is held, in quarters.
const CALM_QUARTERS: usize = 3;

/// There is no room, and nobody else yields. The taker holds what it held before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the process has no memory left for this")]
pub struct Shortage;

/// Bound on the bytes and connections of a process, for one thread.
#[derive(Debug)]
pub struct Budget {
    state: RefCell<State>,
    freed: Notify,
}

/// Counters of a budget since it was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Takers and connections that were turned away for lack of bytes.
    pub refused_bytes: u64,
    /// Connections that were turned away since too many are open.
    pub refused_connections: u64,
    /// Connections asked to yield for lack of bytes.
    pub yielded_bytes: u64,
    /// Connections asked to yield since too many were open.
    pub yielded_connections: u64,
}

impl Budget {
    /// Creates a budget of which nothing is taken.
    pub fn new(size: Size) -> Rc<Self> {
        Rc::new(Self {
            state: RefCell::new(State::new(size)),
            freed: Notify::new(),
        })
    }

    /// Changes the size. What is held beyond a smaller one is not taken back.
    pub fn resize(&self, size: Size) {
        self.state.borrow_mut().size = size;
        self.freed.notify_waiters();
    }

    /// Returns the bytes held for a purpose.
    pub fn held(&self, purpose: Purpose) -> usize {
        self.state.borrow().held(purpose)
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.state.borrow().entries.len()
    }

    /// Returns whether no further connection fits beside the open ones.
    pub fn is_full(&self) -> bool {
        let state = self.state.borrow();
        state.entries.len() >= state.size.connections
    }

    /// Returns the counters.
    pub fn counts(&self) -> Counts {
        let state = self.state.borrow();
        Counts {
            refused_bytes: state.refused[Scarce::Bytes as usize],
            refused_connections: state.refused[Scarce::Connections as usize],
            yielded_bytes: state.yielded[Scarce::Bytes as usize],
            yielded_connections: state.yielded[Scarce::Connections as usize],
        }
    }

    /// Admits a connection that was just accepted. If there are too many, the one that yields first is asked to;
    /// `None` if none does.
    pub fn admit(self: &Rc<Self>, now: Instant) -> Option<Share> {
        let mut state = self.state.borrow_mut();
        if state.staying() >= state.size.connections
            && !ask_next(&mut state, Scarce::Connections, None, now)
        {
            state.refused[Scarce::Connections as usize] += 1;
            return None;
        }
        let (key, asked) = state.insert(now);
        Some(Share {
            budget: self.clone(),
            key,
            asked,
        })
    }

    fn end_shortage(&self) {
        let mut state = self.state.borrow_mut();
        let calm = state.size.bytes / 4 * CALM_QUARTERS;
        if state.is_short && state.all() <= calm {
            state.is_short = false;
            tracing::info!(event = "memory_calm", held = state.all());
        }
    }
}

/// Asks the connection that is next to yield; returns whether one other than `own` was asked.
fn ask_next(state: &mut State, scarce: Scarce, own: Option<Key>, now: Instant) -> bool {
    let Some(key) = state.next(scarce, now).filter(|key| Some(*key) != own) else {
        return false;
    };
    state.yielded[scarce as usize] += 1;
    state.ask(key);
    true
}

/// What one connection holds. Dropping it gives everything back.
#[derive(Debug)]
pub struct Share {
    budget: Rc<Budget>,
    key: Key,
    asked: Rc<Notify>,
}

impl Share {
    /// Records where the connection stands since `now`.
    pub fn set(&self, standing: Standing, now: Instant) {
        self.budget.state.borrow_mut().set(self.key, standing, now);
    }

    /// Returns the bytes that the connection holds for a purpose.
    pub fn held(&self, purpose: Purpose) -> usize {
        self.budget.state.borrow().entries[self.key].held(purpose)
    }

    /// Returns whether the connection was asked to yield.
    pub fn yields(&self) -> bool {
        self.budget.state.borrow().entries[self.key].yields
    }

    /// Waits until the connection is asked to yield, which its holder does by dropping it.
    pub async fn asked(&self) {
        while !self.yields() {
            self.asked.notified().await;
        }
    }

    /// Takes bytes, and waits for connections that yield them. Fails if none does, or this one is the next to
    /// yield.
    pub async fn take(&self, purpose: Purpose, bytes: usize, now: Instant) -> Result<(), Shortage> {
        loop {
            if self.try_take(purpose, bytes) {
                return Ok(());
            }
            {
                let mut state = self.budget.state.borrow_mut();
                let is_hopeless = state.entries[self.key].yields || bytes > state.limit(purpose);
                let will_fit = !is_hopeless
                    && (state.is_yielding()
                        || ask_next(&mut state, Scarce::Bytes, Some(self.key), now));
                if !will_fit {
                    state.refused[Scarce::Bytes as usize] += 1;
                    return Err(Shortage);
                }
            }
            tokio::select! {
                () = self.budget.freed.notified() => {}
                () = self.asked() => {}
            }
        }
    }

    /// Takes bytes as [`Share::take`] does, and waits for as long as there is no room.
    pub async fn wait(&self, purpose: Purpose, bytes: usize, now: Instant) {
        while self.take(purpose, bytes, now).await.is_err() {
            self.budget.freed.notified().await;
        }
    }

    /// Takes bytes if there is room; returns whether it did.
    fn try_take(&self, purpose: Purpose, bytes: usize) -> bool {
        let mut state = self.budget.state.borrow_mut();
        if state.fits(purpose, bytes) {
            state.add(self.key, purpose, bytes);
            return true;
        }
        if !std::mem::replace(&mut state.is_short, true) {
            tracing::warn!(
                event = "memory_short",
                purpose = purpose.code(),
                bytes,
                held = state.all(),
                limit = state.size.bytes,
            );
        }
        false
    }

    /// Gives back bytes of one purpose, at most what is held.
    pub fn give(&self, purpose: Purpose, bytes: usize) {
        self.budget.state.borrow_mut().sub(self.key, purpose, bytes);
        self.budget.freed.notify_waiters();
        self.budget.end_shortage();
    }

    /// Gives everything back.
    pub fn close(self) {
        drop(self);
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.budget.state.borrow_mut().remove(self.key);
        self.budget.freed.notify_waiters();
        self.budget.end_shortage();
    }
}

//! Reporting windows.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use agate_model::id::{Epoch, Window};

/// Table of windows.
pub const TABLE: &str = "window";
/// Key of the row that says which windows are closed.
pub const HEAD: &str = "head";

/// Windows up to this one are closed. Writers of usage check this row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Head {
    /// Last closed window.
    pub closed: Window,
    /// Epoch of the holder that closed it.
    pub epoch: Epoch,
}

/// State of a closed window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum State {
    /// Its rows can no longer change.
    Closed,
    /// Its figures are stored, one row for each account.
    Frozen,
    /// Every report was accepted.
    Sent,
}

/// Length of windows, and how long after their end they are closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// Length, whole seconds.
    pub length: Duration,
    /// Time for hosts to write their rows after the end.
    pub grace: Duration,
}

impl Default for Schedule {
    fn default() -> Self {
        Self {
            length: Duration::from_secs(3600),
            grace: Duration::from_secs(120),
        }
    }
}

impl Schedule {
    /// Window that contains `time`.
    pub fn window(&self, time: SystemTime) -> Window {
        let length = self.seconds();
        let seconds = time
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_secs();
        seconds / length * length
    }

    /// Window after `window`.
    pub fn next(&self, window: Window) -> Window {
        window + self.seconds()
    }

    /// Window whose row takes usage of `origin`: the origin itself, or the first
    /// open window after it.
    pub fn target(&self, origin: Window, head: Head) -> Window {
        if origin <= head.closed {
            self.next(head.closed)
        } else {
            origin
        }
    }

    /// Value of the head before any window was closed: the window before the one
    /// that contains `now`. No usage is written before the head exists.
    pub fn initial(&self, now: SystemTime) -> Window {
        self.window(now).saturating_sub(self.seconds())
    }

    /// Window to close at `now`.
    pub fn due(&self, head: Head, now: SystemTime) -> Option<Window> {
        let window = self.next(head.closed);
        let end = UNIX_EPOCH + Duration::from_secs(self.next(window));
        (now >= end + self.grace).then_some(window)
    }

    fn seconds(&self) -> u64 {
        self.length.as_secs().max(1)
    }
}

//! Reporting windows: their schedule and their states from closed to reported.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use agate_model::id::{Epoch, Window};

/// Store table of the windows: one row for each closed window, and the head.
pub const TABLE: &str = "window";
/// Key of the head row, which says which windows are closed.
pub const HEAD: &str = "head";

/// Head row: names the last closed window. Every write of usage checks that this row is unchanged,
/// so that no row of a closed window is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Head {
    /// Last closed window; all windows before it are closed, too.
    pub closed: Window,
    /// Epoch of the lease holder that closed the window.
    pub epoch: Epoch,
}

/// State of a closed window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum State {
    /// The usage rows of the window can no longer change.
    Closed,
    /// The totals of the window are stored, one report row for each account.
    Frozen,
    /// Every report of the window was accepted by the receiver.
    Sent,
}

/// Length of windows and the time from the end of a window to its closing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// Length of a window in whole seconds; less than one second counts as one.
    pub length: Duration,
    /// Time after the end of a window in which hosts write its rows before it is closed.
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
    /// Returns the window that contains `time`, named by its start in seconds since the Unix epoch.
    pub fn window(&self, time: SystemTime) -> Window {
        let length = self.seconds();
        let seconds = time
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_secs();
        seconds / length * length
    }

    /// Returns the window that follows `window`.
    pub fn next(&self, window: Window) -> Window {
        window + self.seconds()
    }

    /// Returns the window whose row holds usage of `origin`: the origin itself while it is open,
    /// else the first open window.
    pub fn target(&self, origin: Window, head: Head) -> Window {
        if origin <= head.closed {
            self.next(head.closed)
        } else {
            origin
        }
    }

    /// Returns the closed window of the first head: the window before the one that contains `now`.
    /// No usage is written before the head exists.
    pub fn initial(&self, now: SystemTime) -> Window {
        self.window(now).saturating_sub(self.seconds())
    }

    /// Returns the window to close at `now`, or `None` while the grace period of the first open
    /// window has not ended.
    pub fn due(&self, head: Head, now: SystemTime) -> Option<Window> {
        let window = self.next(head.closed);
        let end = UNIX_EPOCH + Duration::from_secs(self.next(window));
        (now >= end + self.grace).then_some(window)
    }

    fn seconds(&self) -> u64 {
        self.length.as_secs().max(1)
    }
}

//! Process signals that stop a program or reload its settings.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Action that a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Stop the program, on SIGTERM or SIGINT. A second signal ends the program at once.
    Stop,
    /// Reload the settings, on SIGHUP.
    Reload,
}

/// Handlers of the signals that this process receives.
#[derive(Debug)]
pub struct Listener {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Listener {
    /// Registers the handlers. Must be called within a Tokio runtime.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal and returns its action.
    pub async fn next(&mut self) -> Event {
        tokio::select! {
            _ = self.terminate.recv() => Event::Stop,
            _ = self.interrupt.recv() => Event::Stop,
            _ = self.hangup.recv() => Event::Reload,
        }
    }
}

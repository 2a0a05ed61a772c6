//! Signals that the programs react to.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// SIGTERM or SIGINT; a second one ends the program at once.
    Stop,
    /// SIGHUP.
    Reload,
}

/// Signals received by this process.
#[derive(Debug)]
pub struct Listener {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Listener {
    /// Registers the handlers; must be called within a runtime.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> Event {
        tokio::select! {
            _ = self.terminate.recv() => Event::Stop,
            _ = self.interrupt.recv() => Event::Stop,
            _ = self.hangup.recv() => Event::Reload,
        }
    }
}

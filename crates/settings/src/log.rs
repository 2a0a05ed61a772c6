//! Log output in logfmt: one line of key=value pairs for each event.

use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::layer::SubscriberExt as _;
use tracing_subscriber::util::SubscriberInitExt as _;

/// Maximum number of lines buffered for standard output; further lines are dropped.
const BUFFERED_LINES: usize = 4096;

/// Logs panics beside printing them, since a panic in a task ends nothing but that task.
fn log_panics() {
    let print = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        let place = info.location().map(ToString::to_string);
        tracing::error!(event = "panic", place = place.unwrap_or_default());
        print(info);
    }));
}

/// Starts logging on standard error. `filter` is a list of `tracing` directives such as
/// `info,agate_gate=debug`; `info` replaces a malformed one. A second call has no effect.
pub fn init(filter: &str) {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let started = tracing_subscriber::registry()
        .with(filter)
        .with(
            tracing_logfmt::builder()
                .layer()
                .with_writer(std::io::stderr),
        )
        .try_init();
    if started.is_ok() {
        log_panics();
    }
}

/// Starts logging on standard output through a buffer; `filter` works as in [`init`]. A stalled
/// reader of the output never blocks the program: lines are dropped while the buffer is full. The
/// returned guard must live as long as the program, since it stops the writer when dropped.
pub fn init_output(filter: &str) -> WorkerGuard {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let (writer, guard): (NonBlocking, WorkerGuard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(BUFFERED_LINES)
        .finish(std::io::stdout());
    let started = tracing_subscriber::registry()
        .with(filter)
        .with(tracing_logfmt::builder().layer().with_writer(writer))
        .try_init();
    if started.is_ok() {
        log_panics();
    }
    guard
}

//! One process of the system or of a stand-in.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use crate::wait::{START, until};

/// Lines of a log that are shown when a test fails.
const LOG_LINES: usize = 40;

/// A running process; killed by its id when dropped.
#[derive(Debug)]
pub struct Program {
    name: String,
    child: Child,
    out: PathBuf,
    log: PathBuf,
}

/// Directory with the programs: that of this one, or the one above for a test.
pub fn directory() -> PathBuf {
    let own = std::env::current_exe().expect("a process knows its executable");
    let beside = own.parent().expect("an executable lies in a directory");
    match beside.parent() {
        Some(above) if beside.ends_with("deps") => above.to_owned(),
        _ => beside.to_owned(),
    }
}

impl Program {
    /// Starts a program; its output goes to files in `dir`.
    pub fn start(dir: &Path, name: &str, binary: &str, args: &[String]) -> Self {
        let path = directory().join(binary);
        assert!(
            path.exists(),
            "{} is missing; run cargo build --workspace --bins",
            path.display()
        );
        let out = dir.join(format!("{name}.out"));
        let log = dir.join(format!("{name}.log"));
        let append = |path: &Path| {
            let file = File::options().create(true).append(true).open(path);
            Stdio::from(file.expect("log file can be written"))
        };
        let _ = std::fs::remove_file(&out);
        let child = Command::new(path)
            .args(args)
            .stdin(Stdio::null())
            .stdout(append(&out))
            .stderr(append(&log))
            .spawn()
            .expect("program starts");
        Self {
            name: name.to_owned(),
            child,
            out,
            log,
        }
    }

    /// Waits for the line `listening address=ADDR` and answers the address.
    pub async fn listening(&mut self) -> String {
        let what = format!("{} listens", self.name);
        until(&what, START, || {
            let line = std::fs::read_to_string(&self.out).unwrap_or_default();
            let ended = self.child.try_wait().expect("child can be waited for");
            assert!(
                ended.is_none(),
                "{} ended at start: {}",
                self.name,
                self.log()
            );
            let line = line.lines().find(|it| it.starts_with("listening address="));
            let address = line
                .and_then(|it| it.split(['=', ' ']).nth(2))
                .map(str::to_owned);
            std::future::ready(address)
        })
        .await
    }

    /// Ends the process at once, without a chance to react.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Freezes the process.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Wakes a frozen process.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Asks the process to shut down.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        let ended = self.child.try_wait().expect("child can be waited for");
        ended.is_none()
    }

    /// Waits for its end.
    pub async fn ended(&mut self, limit: Duration) -> ExitStatus {
        let what = format!("{} ends", self.name);
        until(&what, limit, || {
            let ended = self.child.try_wait().expect("child can be waited for");
            std::future::ready(ended)
        })
        .await
    }

    /// The last lines of its log.
    pub fn log(&self) -> String {
        let text = self.whole_log();
        let lines: Vec<&str> = text.lines().collect();
        let from = lines.len().saturating_sub(LOG_LINES);
        lines[from..].join("\n")
    }

    /// What it has printed to standard error.
    pub fn errors(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Everything that it has printed.
    pub fn whole_log(&self) -> String {
        let read = |path: &Path| std::fs::read_to_string(path).unwrap_or_default();
        read(&self.out) + &read(&self.log)
    }

    /// Its process id.
    pub fn id(&self) -> Pid {
        Pid::from_raw(i32::try_from(self.child.id()).expect("process ids are positive"))
    }

    fn signal(&self, signal: Signal) {
        kill(self.id(), signal).expect("child has not been waited for");
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
        if std::thread::panicking() {
            eprintln!("--- last lines of {}\n{}", self.name, self.log());
        }
    }
}

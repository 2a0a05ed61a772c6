//! Starts, signals and observes one process of the system or of a stand-in.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use crate::wait::{START_TIMEOUT, until};

/// Number of last lines of a log that are shown when a test fails.
const LOG_LINES: usize = 40;

/// A child process with its output in files; killed when dropped.
#[derive(Debug)]
pub struct Program {
    name: String,
    child: Child,
    stdout: PathBuf,
    stderr: PathBuf,
}

/// Returns the directory that holds the programs: that of the current executable, or its
/// parent for a test binary, which cargo puts into `deps`.
pub fn directory() -> PathBuf {
    let executable = std::env::current_exe().expect("path of the current executable is known");
    let directory = executable
        .parent()
        .expect("path of the executable has a parent directory");
    match directory.parent() {
        Some(parent) if directory.ends_with("deps") => parent.to_owned(),
        _ => directory.to_owned(),
    }
}

impl Program {
    /// Starts `binary` from the directory of the programs.
    ///
    /// Standard output goes to `name.out` in `dir`, which is removed first, and standard error
    /// is appended to `name.log`.
    pub fn start(dir: &Path, name: &str, binary: &str, args: &[String]) -> Self {
        let path = directory().join(binary);
        assert!(
            path.exists(),
            "program {} does not exist; build it with cargo build --workspace --bins",
            path.display()
        );
        let stdout = dir.join(format!("{name}.out"));
        let stderr = dir.join(format!("{name}.log"));
        let append = |path: &Path| {
            let file = File::options().create(true).append(true).open(path);
            Stdio::from(file.expect("output file can be opened for appending"))
        };
        let _ = std::fs::remove_file(&stdout);
        let child = Command::new(path)
            .args(args)
            .stdin(Stdio::null())
            .stdout(append(&stdout))
            .stderr(append(&stderr))
            .spawn()
            .expect("program can be executed");
        Self {
            name: name.to_owned(),
            child,
            stdout,
            stderr,
        }
    }

    /// Waits until the process prints `listening address=ADDR` and returns the address.
    /// Panics with the end of the log if the process exits before that.
    pub async fn listen_address(&mut self) -> String {
        let condition = format!("{} listens", self.name);
        until(&condition, START_TIMEOUT, || {
            let output = std::fs::read_to_string(&self.stdout).unwrap_or_default();
            let exited = self
                .child
                .try_wait()
                .expect("exit status of the child can be read");
            assert!(
                exited.is_none(),
                "{} exited before it listened: {}",
                self.name,
                self.log_tail()
            );
            let line = output
                .lines()
                .find(|line| line.starts_with("listening address="));
            let address = line
                .and_then(|line| line.split(['=', ' ']).nth(2))
                .map(str::to_owned);
            std::future::ready(address)
        })
        .await
    }

    /// Kills the process with SIGKILL and waits for its exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Suspends the process with SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes a suspended process with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Requests a graceful shutdown with SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Returns whether the process has not exited; a suspended process counts as running.
    pub fn is_running(&mut self) -> bool {
        let exited = self
            .child
            .try_wait()
            .expect("exit status of the child can be read");
        exited.is_none()
    }

    /// Waits until the process exits by itself and returns its exit status; panics after
    /// `timeout`.
    pub async fn exit_status(&mut self, timeout: Duration) -> ExitStatus {
        let condition = format!("{} exits", self.name);
        until(&condition, timeout, || {
            let exited = self
                .child
                .try_wait()
                .expect("exit status of the child can be read");
            std::future::ready(exited)
        })
        .await
    }

    /// Returns the last lines of the output, standard output before standard error.
    pub fn log_tail(&self) -> String {
        let text = self.output();
        let lines: Vec<&str> = text.lines().collect();
        let first = lines.len().saturating_sub(LOG_LINES);
        lines[first..].join("\n")
    }

    /// Returns what the process has written to standard error.
    pub fn stderr(&self) -> String {
        std::fs::read_to_string(&self.stderr).unwrap_or_default()
    }

    /// Returns everything that the process has written, standard output first.
    pub fn output(&self) -> String {
        let read = |path: &Path| std::fs::read_to_string(path).unwrap_or_default();
        read(&self.stdout) + &read(&self.stderr)
    }

    /// Returns the process id, which stays the same until the process is dropped.
    pub fn id(&self) -> Pid {
        Pid::from_raw(i32::try_from(self.child.id()).expect("process id fits into an i32"))
    }

    fn signal(&self, signal: Signal) {
        kill(self.id(), signal).expect("signal can be sent to the child");
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
        if std::thread::panicking() {
            eprintln!("--- last lines of {}\n{}", self.name, self.log_tail());
        }
    }
}

//! The program: its settings, its line on standard output, its signals.

use std::io::{BufRead as _, BufReader, Read as _};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tempfile::TempDir;

const SETTINGS: &str = "\
host: host-1
zone: a
listen: 127.0.0.1:0
admin: 127.0.0.1:0
steer: [127.0.0.1:9]
keep_addresses: 2s
";

fn write(directory: &TempDir, text: &str) -> PathBuf {
    let path = directory.path().join("settings.yaml");
    std::fs::write(&path, text).expect("a file");
    path
}

fn gate(path: &PathBuf, arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_agate-gate"));
    command.arg("--settings").arg(path).args(arguments);
    command.stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

fn output(text: &str, arguments: &[&str]) -> Output {
    let directory = TempDir::new().expect("a directory");
    let path = write(&directory, text);
    gate(&path, arguments).output().expect("the program runs")
}

/// A running gate and its directory.
struct Running {
    child: Child,
    line: String,
    _directory: TempDir,
}

impl Running {
    fn start(settings: &str) -> Self {
        let directory = TempDir::new().expect("a directory");
        let path = write(&directory, settings);
        let mut child = gate(&path, &[]).spawn().expect("the program starts");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("a pipe");
        BufReader::new(stdout).read_line(&mut line).expect("a line");
        Self {
            child,
            line,
            _directory: directory,
        }
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).expect("a process id");
        kill(Pid::from_raw(pid), signal).expect("the program runs");
    }

    /// Exit code, time until the end, and log.
    fn wait(mut self) -> (Option<i32>, Duration, String) {
        let begun = Instant::now();
        let status = self.child.wait().expect("the program ends");
        let mut log = String::new();
        let mut stderr = self.child.stderr.take().expect("a pipe");
        stderr.read_to_string(&mut log).expect("text");
        (status.code(), begun.elapsed(), log)
    }
}

#[test]
fn settings_are_checked_with_all_their_faults() {
    let text = SETTINGS.replace(
        "steer: [127.0.0.1:9]",
        "steer: []\nfreshness: 10s\nlimits: { body: 0B, head_timeout: 0s }",
    );
    let output = output(&text, &["--check"]);
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8(output.stderr).expect("text");
    let places: Vec<&str> = text
        .lines()
        .filter_map(|line| line.split_once("settings.yaml"))
        .map(|(_, fault)| fault)
        .collect();
    insta::assert_yaml_snapshot!(places);
}

#[test]
fn settings_in_effect_are_printed() {
    let output = output(SETTINGS, &["--print-settings"]);
    assert_eq!(output.status.code(), Some(0));
    insta::assert_snapshot!(String::from_utf8(output.stdout).expect("text"));
}

#[test]
fn a_signal_ends_it_after_the_time_for_which_addresses_are_kept() {
    let running = Running::start(SETTINGS);
    assert!(
        running.line.starts_with("listening address=127.0.0.1:"),
        "{}",
        running.line
    );
    assert!(running.line.contains(" admin=127.0.0.1:"));
    running.signal(Signal::SIGHUP);
    running.signal(Signal::SIGTERM);
    let (code, time, log) = running.wait();
    assert_eq!(code, Some(0), "{log}");
    assert!(time >= Duration::from_millis(1900), "{time:?}");
    for event in ["leaving", "closing", "stopped"] {
        assert!(log.contains(&format!("event={event}")), "{log}");
    }
}

#[test]
fn a_second_signal_ends_it_at_once() {
    let running = Running::start(&SETTINGS.replace("2s", "60s"));
    running.signal(Signal::SIGTERM);
    std::thread::sleep(Duration::from_millis(200));
    running.signal(Signal::SIGTERM);
    let (code, time, log) = running.wait();
    assert_eq!(code, Some(0), "{log}");
    assert!(time < Duration::from_secs(30), "{time:?}");
    assert!(log.contains("event=stopped"), "{log}");
}

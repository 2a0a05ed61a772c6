//! The binary: its settings, its line on standard output, its signals and exit codes.

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

fn write_settings(directory: &TempDir, text: &str) -> PathBuf {
    let path = directory.path().join("settings.yaml");
    std::fs::write(&path, text).expect("a file");
    path
}

fn command(path: &PathBuf, arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_agate-gate"));
    command.arg("--settings").arg(path).args(arguments);
    command.stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

fn run_to_end(text: &str, arguments: &[&str]) -> Output {
    let directory = TempDir::new().expect("a directory");
    let path = write_settings(&directory, text);
    command(&path, arguments)
        .output()
        .expect("the program runs")
}

/// Gate process with the directory of its settings.
struct Running {
    child: Child,
    /// First line on standard output, with the bound addresses.
    listening_line: String,
    _directory: TempDir,
}

impl Running {
    fn start(settings: &str) -> Self {
        let directory = TempDir::new().expect("a directory");
        let path = write_settings(&directory, settings);
        let mut child = command(&path, &[]).spawn().expect("the program starts");
        let mut listening_line = String::new();
        let stdout = child.stdout.take().expect("a pipe");
        BufReader::new(stdout)
            .read_line(&mut listening_line)
            .expect("a line");
        Self {
            child,
            listening_line,
            _directory: directory,
        }
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).expect("a process id");
        kill(Pid::from_raw(pid), signal).expect("the program runs");
    }

    /// Waits for the process to exit, and returns its exit code, the time that took, and its log.
    fn wait(mut self) -> (Option<i32>, Duration, String) {
        let started = Instant::now();
        let status = self.child.wait().expect("the program ends");
        let mut log = String::new();
        let mut stderr = self.child.stderr.take().expect("a pipe");
        stderr.read_to_string(&mut log).expect("text");
        (status.code(), started.elapsed(), log)
    }
}

#[test]
fn check_reports_every_fault_in_the_settings() {
    let text = SETTINGS.replace(
        "steer: [127.0.0.1:9]",
        "steer: []\nfreshness: 10s\nlimits: { body: 0B, head_timeout: 0s }",
    );
    let output = run_to_end(&text, &["--check"]);
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8(output.stderr).expect("text");
    let faults: Vec<&str> = text
        .lines()
        .filter_map(|line| line.split_once("settings.yaml"))
        .map(|(_, fault)| fault)
        .collect();
    insta::assert_yaml_snapshot!(faults);
}

#[test]
fn print_settings_fills_in_defaults() {
    let output = run_to_end(SETTINGS, &["--print-settings"]);
    assert_eq!(output.status.code(), Some(0));
    insta::assert_snapshot!(String::from_utf8(output.stdout).expect("text"));
}

#[test]
fn sigterm_stops_the_gate_once_callers_no_longer_keep_its_address() {
    let running = Running::start(SETTINGS);
    assert!(
        running
            .listening_line
            .starts_with("listening address=127.0.0.1:"),
        "{}",
        running.listening_line
    );
    assert!(running.listening_line.contains(" admin=127.0.0.1:"));
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
fn a_second_sigterm_stops_the_gate_at_once() {
    let running = Running::start(&SETTINGS.replace("2s", "60s"));
    running.signal(Signal::SIGTERM);
    std::thread::sleep(Duration::from_millis(200));
    running.signal(Signal::SIGTERM);
    let (code, time, log) = running.wait();
    assert_eq!(code, Some(0), "{log}");
    assert!(time < Duration::from_secs(30), "{time:?}");
    assert!(log.contains("event=stopped"), "{log}");
}

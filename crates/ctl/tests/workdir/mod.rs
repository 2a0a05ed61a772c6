//! Temporary directory for the files of a test, with a control process that agatectl connects to.
#![allow(dead_code, reason = "each test program uses only a part of the module")]

use std::net::SocketAddr;
use std::process::{Command, Output};
use std::sync::mpsc;
use std::time::Duration;

use agate_fake::platform;
use agate_model::key::Digest;
use agate_settings::file;
use agate_steer::platform::Platform;
use agate_steer::run::{Process, Sockets};
use agate_steer::settings::Settings;
use tempfile::TempDir;

const CREDENTIAL: &str = "admin-credential";
const CLUSTER_KEY: &str = "5ca1ab1e5ca1ab1e5ca1ab1e5ca1ab1e5ca1ab1e5ca1ab1e5ca1ab1e5ca1ab1e";
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(5);

/// Manifests of a class and of an account that may use it.
pub(crate) const RESOURCES: &str = "\
kind: class
id: chat
tier: 1
target: { first_token: 900ms, between_tokens: 28ms, deadline: 30s }
---
kind: account
id: smith
classes: [chat]
";

/// Directory for files, and the address of a control process that runs until the test program
/// exits.
pub(crate) struct Workdir {
    dir: TempDir,
    server: SocketAddr,
}

/// Output and exit code of a command.
#[derive(Debug)]
pub(crate) struct Printed {
    pub(crate) code: i32,
    pub(crate) out: String,
    pub(crate) err: String,
}

impl Workdir {
    pub(crate) fn new() -> Self {
        let (sender, receiver) = mpsc::channel();
        std::thread::spawn(move || {
            actix_rt::System::new().block_on(serve(&sender));
        });
        Self {
            dir: TempDir::new().expect("temporary directory is created"),
            server: receiver
                .recv()
                .expect("control process sends its API address"),
        }
    }

    /// Creates a work directory and applies [`RESOURCES`].
    pub(crate) fn with_resources() -> Self {
        let work = Self::new();
        work.write("resources.yaml", RESOURCES);
        let applied = work.run(&["apply", "-f", "resources.yaml"]);
        assert_eq!(applied.code, 0, "{}", applied.err);
        work
    }

    pub(crate) fn write(&self, name: &str, text: &str) {
        std::fs::write(self.dir.path().join(name), text).expect("file is written");
    }

    pub(crate) fn run(&self, args: &[&str]) -> Printed {
        self.run_as(CREDENTIAL, args)
    }

    pub(crate) fn run_as(&self, credential: &str, args: &[&str]) -> Printed {
        let output = Command::new(env!("CARGO_BIN_EXE_agatectl"))
            .args(args)
            .current_dir(self.dir.path())
            .env("AGATE_SERVER", self.server.to_string())
            .env("AGATE_CREDENTIAL", credential)
            .output()
            .expect("agatectl runs");
        Printed::from(output)
    }
}

impl From<Output> for Printed {
    fn from(output: Output) -> Self {
        Self {
            code: output
                .status
                .code()
                .expect("agatectl exits with a code, not by a signal"),
            out: String::from_utf8(output.stdout).expect("output is UTF-8"),
            err: String::from_utf8(output.stderr).expect("output is UTF-8"),
        }
    }
}

async fn serve(sender: &mpsc::Sender<SocketAddr>) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = platform::start(&platform::Settings::new(any, 1)).expect("platform starts");
    let digest = hex::encode(Digest::of(CREDENTIAL.as_bytes()).0);
    let text = format!(
        "host: host-1\nzone: zone-a\ngate: 127.0.0.1:1\nlisten: 127.0.0.1:0\n\
         peers_listen: 127.0.0.1:0\ngossip: 127.0.0.1:0\nplatform: {}\n\
         cluster_key: {CLUSTER_KEY}\nbootstrap_operator_digest: {digest}\n",
        platform.address
    );
    let settings: Settings = file::parse("test", &text).expect("settings are valid");
    let sockets = Sockets::bind(&settings).await.expect("sockets are bound");
    let api = sockets.api.local_addr().expect("API socket has an address");
    let client = Platform::connect(settings.platform, PLATFORM_TIMEOUT);
    let _process = Process::start(settings, client, sockets).expect("control process starts");
    sender.send(api).expect("test waits for the address");
    std::future::pending::<()>().await;
}

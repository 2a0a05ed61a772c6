//! Measures the time from a change to its being in force on the last control process.
//!
//! Runs several control processes in this process, over a platform at a given address:
//!
//! ```text
//! agate-fake platform --listen 127.0.0.1:9100
//! cargo run --release -p agate-steer --example in-force -- --platform 127.0.0.1:9100 --hosts 9
//! ```

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use agate_model::key::Digest;
use agate_settings::file;
use agate_steer::platform::Platform;
use agate_steer::run::{Process, Sockets};
use agate_steer::settings::Settings;
use agate_wire::api::{Apply, Item, Outcome, State};
use agate_wire::change::Edit;
use agate_wire::manifest::{Account, Manifest};
use bpaf::Bpaf;
use tokio::time::{Instant, sleep};

/// Credential of the operator who makes the changes.
const CREDENTIAL: &str = "in-force";
/// Time for all hosts to learn of each other.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause between changes, and between checks during the start.
const PAUSE: Duration = Duration::from_millis(50);

/// Time from a change to its being in force on the last control process.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Args {
    /// Address of the platform
    #[bpaf(argument("ADDR"))]
    platform: SocketAddr,
    /// Number of control processes
    #[bpaf(argument("N"), fallback(9))]
    hosts: usize,
    /// Number of changes
    #[bpaf(argument("N"), fallback(100))]
    changes: usize,
}

struct Host {
    process: Process,
    api: SocketAddr,
}

fn main() -> ExitCode {
    let args = args().run();
    match actix_rt::System::new().block_on(run(&args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("in-force: {err}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: &Args) -> Result<(), Box<dyn std::error::Error>> {
    let mut hosts = Vec::new();
    for n in 0..args.hosts {
        hosts.push(start(args, n).await?);
    }
    wait_for_cluster(&hosts).await?;
    let (mut response_times, mut in_force_times) = (Vec::new(), Vec::new());
    let mut pending = 0;
    for n in 0..args.changes {
        sleep(PAUSE).await;
        let started = Instant::now();
        let next = hosts[n % hosts.len()].process.context.copy.version() + 1;
        let response = async {
            let outcome = change(&hosts[n % hosts.len()], n).await;
            (outcome, started.elapsed())
        };
        let in_force = async {
            for host in &hosts {
                let mut versions = host.process.context.copy.watch();
                let _ = versions.wait_for(|version| *version >= next).await;
            }
            started.elapsed()
        };
        let ((outcome, response_time), in_force_time) = tokio::join!(response, in_force);
        pending += usize::from(outcome?.state == State::Pending);
        response_times.push(response_time);
        in_force_times.push(in_force_time);
    }
    println!(
        "hosts={} changes={} pending={pending}",
        args.hosts, args.changes
    );
    print_percentiles("answered", response_times);
    print_percentiles("in_force", in_force_times);
    Ok(())
}

async fn start(args: &Args, n: usize) -> Result<Host, Box<dyn std::error::Error>> {
    let digest = hex::encode(Digest::of(CREDENTIAL.as_bytes()).0);
    let text = format!(
        "host: host-{n}\nzone: zone-{}\ngate: 127.0.0.1:1\nlisten: 127.0.0.1:0\n\
         peers_listen: 127.0.0.1:0\ngossip: 127.0.0.1:0\nplatform: {}\n\
         cluster_key: {}\nbootstrap_operator_digest: {digest}\n",
        n % 4,
        args.platform,
        "ab".repeat(32)
    );
    let settings: Settings = file::parse("in-force", &text)?;
    let sockets = Sockets::bind(&settings).await?;
    let api = sockets.api.local_addr()?;
    let platform = Platform::connect(settings.platform, settings.timeouts.platform);
    let process = Process::start(settings, platform, sockets)?;
    Ok(Host { process, api })
}

/// Waits until every host knows the others and the witnesses are complete.
async fn wait_for_cluster(hosts: &[Host]) -> Result<(), &'static str> {
    let deadline = Instant::now() + START_TIMEOUT;
    let witnesses = hosts.len().min(agate_conf::witness::WITNESS_LIMIT);
    let is_settled = |host: &Host| {
        let context = &host.process.context;
        let knows_all = context.members.peers().len() + 1 == hosts.len();
        knows_all && context.copy.witnesses().members.len() == witnesses
    };
    while !hosts.iter().all(is_settled) {
        if Instant::now() > deadline {
            return Err("not all hosts and witnesses were known before the start timeout");
        }
        sleep(PAUSE).await;
    }
    Ok(())
}

async fn change(host: &Host, n: usize) -> Result<Outcome, Box<dyn std::error::Error>> {
    let account = Account {
        id: format!("account-{n}"),
        weight: 1,
        max_concurrent: 1,
        requests_per_second: None,
        tokens_per_minute: None,
        classes: Vec::new(),
    };
    let manifest = Manifest::Account(account);
    let apply = Apply {
        items: vec![Item {
            edit: Edit::Put { manifest },
            expected: None,
        }],
        dry_run: false,
    };
    let mut response = awc::Client::default()
        .post(format!("http://{}/api/v1/apply", host.api))
        .bearer_auth(CREDENTIAL)
        .send_json(&apply)
        .await
        .map_err(|err| err.to_string())?;
    Ok(response.json().await?)
}

fn print_percentiles(name: &str, mut times: Vec<Duration>) {
    times.sort();
    let percentile = |percent: usize| times[(times.len() - 1) * percent / 100];
    println!(
        "{name} p50={:?} p99={:?} worst={:?}",
        percentile(50),
        percentile(99),
        percentile(100)
    );
}

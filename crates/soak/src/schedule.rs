//! Schedules of faults, drawn at random from a seed.

use std::time::Duration;

use rand::seq::IndexedRandom as _;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// Fault-free time at the start of a run, in which the hosts discover each other.
pub const WARM_UP: Duration = Duration::from_secs(5);
/// Fault-free time at the end of a run, within which all requests must be served again.
pub const RECOVERY: Duration = Duration::from_secs(8);
/// Mean time between the starts of two faults that do not start together.
const MEAN_GAP: Duration = Duration::from_millis(1100);
/// Shortest and longest duration of a fault, in seconds.
const FAULT_SECONDS: (f64, f64) = (0.4, 7.0);

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A host's process is killed and restarted at once.
    HostKill,
    /// All hosts are killed at the same moment.
    AllKill,
    /// A host's process gets SIGTERM and is restarted once it has exited.
    HostStop,
    /// A host's process gets SIGTERM and, after the fault's length, SIGKILL.
    HostStopKill,
    /// A host's process is paused with SIGSTOP.
    HostPause,
    /// The process of the lease holder is paused with SIGSTOP.
    HolderPause,
    /// A host's process gets SIGHUP and reloads its settings file.
    HostReload,
    /// A host's calls to the store hang without reaching it.
    StoreCut,
    /// A host's calls reach the store, but the responses are held back.
    StoreAnswersCut,
    /// A host's connections to the store are reset.
    StoreReset,
    /// A host's link to the store carries 10 Mbit/s.
    StoreThin,
    /// The store refuses all calls.
    StoreDown,
    /// The store delays its responses.
    StoreSlow,
    /// The store executes all calls and loses some of the responses.
    StoreAnswersLost,
    /// The store executes some writes seconds after their callers have timed out.
    StoreWritesLate,
    /// The store drops its change history, so that watches have to start anew.
    StoreForgets,
    /// The store is away for a moment and returns from an older copy, which lacks its newest commits.
    StoreReturns,
    /// All connections between callers and a host are reset.
    CallersReset,
    /// An endpoint crashes without notice and is replaced by one with a new id.
    EndpointCrash,
    /// An endpoint announces that it drains, and stops later.
    EndpointLeave,
    /// An endpoint says in its responses that it is leaving, and announces it later.
    EndpointNotice,
    /// One endpoint, or all of them, refuses some requests and asks for a pause.
    EndpointBusy,
    /// One endpoint, or all of them, sends no response.
    EndpointDark,
    /// One endpoint, or all of them, fails some requests with status 500.
    EndpointGrey,
    /// One endpoint, or all of them, executes requests and cuts off some of the responses.
    EndpointCuts,
    /// One endpoint, or all of them, sends responses that belong to other requests.
    EndpointForeign,
    /// All connections to an endpoint are reset.
    EndpointReset,
    /// The configuration gains a route and a key.
    ConfigGrow,
    /// The configuration gains hundreds of routes and a key.
    ConfigBulk,
    /// A key is withdrawn while callers continue to use it.
    KeyWithdraw,
    /// Several configurations are written in quick succession.
    ConfigStorm,
    /// The receiver of reports loses some of its responses.
    DutiesLost,
    /// One endpoint, or all of them, takes longer for each request and serves all of them.
    EndpointSlow,
    /// One endpoint, or all of them, names the requests a second that it takes from all hosts together.
    EndpointLimit,
}

impl Kind {
    /// All kinds, in the order of their declaration.
    pub const ALL: [Kind; 34] = [
        Kind::HostKill,
        Kind::AllKill,
        Kind::HostStop,
        Kind::HostStopKill,
        Kind::HostPause,
        Kind::HolderPause,
        Kind::HostReload,
        Kind::StoreCut,
        Kind::StoreAnswersCut,
        Kind::StoreReset,
        Kind::StoreThin,
        Kind::StoreDown,
        Kind::StoreSlow,
        Kind::StoreAnswersLost,
        Kind::StoreWritesLate,
        Kind::StoreForgets,
        Kind::CallersReset,
        Kind::EndpointCrash,
        Kind::EndpointLeave,
        Kind::EndpointNotice,
        Kind::EndpointBusy,
        Kind::EndpointDark,
        Kind::EndpointGrey,
        Kind::EndpointCuts,
        Kind::EndpointForeign,
        Kind::EndpointReset,
        Kind::ConfigGrow,
        Kind::ConfigBulk,
        Kind::KeyWithdraw,
        Kind::ConfigStorm,
        Kind::DutiesLost,
        Kind::EndpointSlow,
        Kind::EndpointLimit,
        Kind::StoreReturns,
    ];

    /// Returns whether the fault disturbs all hosts, not only its target.
    pub fn disturbs_all_hosts(self) -> bool {
        matches!(
            self,
            Kind::AllKill
                | Kind::StoreDown
                | Kind::StoreSlow
                | Kind::StoreAnswersLost
                | Kind::StoreWritesLate
                | Kind::StoreForgets
                | Kind::StoreReturns
        )
    }

    /// Returns whether the fault disturbs at least one host.
    pub fn disturbs_hosts(self) -> bool {
        self.disturbs_all_hosts()
            || matches!(
                self,
                Kind::HostKill
                    | Kind::HostStop
                    | Kind::HostStopKill
                    | Kind::HostPause
                    | Kind::HolderPause
                    | Kind::StoreCut
                    | Kind::StoreAnswersCut
                    | Kind::StoreReset
                    | Kind::CallersReset
            )
    }

    /// Returns whether the fault is one of the store, or of hosts' links to it.
    pub fn is_of_store(self) -> bool {
        matches!(
            self,
            Kind::StoreCut
                | Kind::StoreAnswersCut
                | Kind::StoreReset
                | Kind::StoreThin
                | Kind::StoreDown
                | Kind::StoreSlow
                | Kind::StoreAnswersLost
                | Kind::StoreWritesLate
                | Kind::StoreForgets
                | Kind::StoreReturns
        )
    }

    /// Returns whether the fault disturbs endpoints. An announced drain does not count as one, nor
    /// does an endpoint that serves all requests later.
    pub fn disturbs_endpoints(self) -> bool {
        matches!(
            self,
            Kind::EndpointCrash
                | Kind::EndpointDark
                | Kind::EndpointGrey
                | Kind::EndpointCuts
                | Kind::EndpointForeign
                | Kind::EndpointReset
        )
    }
}

/// One fault with its time and target.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: Kind,
    /// Time from the start of the run to the start of the fault.
    pub at: Duration,
    /// Time from the start to the end of the fault, for kinds that last.
    pub length: Duration,
    /// Index of the host or endpoint, modulo the number of hosts or endpoints of the run.
    pub target: usize,
}

/// Faults of one run, ordered by their start. Faults may overlap.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Schedule {
    /// Seed that the schedule was drawn from.
    pub seed: u64,
    /// Duration of the run, including warm-up and recovery.
    pub length: Duration,
    /// Faults in the order of their start.
    pub faults: Vec<Fault>,
}

impl Schedule {
    /// Draws the schedule of a seed. Only faults of the given `kinds` occur; the schedule is empty
    /// if there are none.
    pub fn draw(seed: u64, length: Duration, kinds: &[Kind]) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let end = length.saturating_sub(RECOVERY);
        let mut at = WARM_UP;
        let mut faults = Vec::new();
        while at < end {
            let Some(kind) = kinds.choose(&mut rng).copied() else {
                break;
            };
            let longest = (end - at).as_secs_f64().max(FAULT_SECONDS.0);
            let seconds = rng.random_range(FAULT_SECONDS.0..FAULT_SECONDS.1);
            let target = rng.random_range(0..1000);
            let fault = Fault {
                kind,
                at,
                length: Duration::from_secs_f64(seconds.min(longest)),
                target,
            };
            faults.push(fault);
            // One fault in four starts at the same time as the next one.
            let gap = match rng.random_ratio(1, 4) {
                true => 0.0,
                false => rng.random_range(0.3..1.7),
            };
            at += MEAN_GAP.mul_f64(gap);
        }
        Self {
            seed,
            length,
            faults,
        }
    }
}

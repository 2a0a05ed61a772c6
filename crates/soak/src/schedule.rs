//! Faults of one run, drawn from a seed.

use std::time::Duration;

use rand::seq::IndexedRandom as _;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// Time without faults at the start, for hosts to find each other.
pub const WARM_UP: Duration = Duration::from_secs(5);
/// Time without faults at the end, within which everything must be served again.
pub const RECOVERY: Duration = Duration::from_secs(8);
/// Mean time between the begins of two faults.
const GAP: Duration = Duration::from_millis(1100);
/// Shortest and longest fault.
const LENGTHS: (f64, f64) = (0.4, 7.0);

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A host's process is killed and started again at once.
    HostKill,
    /// All hosts are killed at the same moment.
    AllKill,
    /// A host is told to stop, and started again once it has ended.
    HostStop,
    /// A host is told to stop and killed before it is done.
    HostStopKill,
    /// A host's process is paused.
    HostPause,
    /// The holder of the lease is paused.
    HolderPause,
    /// A host's settings file is read again.
    HostReload,
    /// A host can't reach the store; its calls hang.
    StoreCut,
    /// A host's calls reach the store, and the answers do not come.
    StoreAnswersCut,
    /// A host's connections to the store are reset.
    StoreReset,
    /// The store refuses all calls.
    StoreDown,
    /// The store answers late.
    StoreSlow,
    /// The store carries calls out and some answers are lost.
    StoreAnswersLost,
    /// The store carries some writes out seconds after their callers have given up.
    StoreWritesLate,
    /// The store forgets its history.
    StoreForgets,
    /// Connections between callers and a host are reset.
    CallersReset,
    /// An endpoint ends without a word and comes back as another.
    EndpointCrash,
    /// An endpoint announces that it leaves, and ends later.
    EndpointLeave,
    /// An endpoint, or all of them, answers nothing.
    EndpointDark,
    /// An endpoint, or all of them, fails some requests.
    EndpointGrey,
    /// An endpoint, or all of them, runs requests and cuts their answers.
    EndpointCuts,
    /// An endpoint, or all of them, answers with what belongs to other requests.
    EndpointForeign,
    /// An endpoint's connections are reset.
    EndpointReset,
    /// The configuration gets a route and a key.
    ConfigGrow,
    /// A key is withdrawn from callers that go on using it.
    KeyWithdraw,
    /// Configurations come in quick succession.
    ConfigStorm,
    /// The receiver of reports loses answers.
    DutiesLost,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Kind; 27] = [
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
        Kind::StoreDown,
        Kind::StoreSlow,
        Kind::StoreAnswersLost,
        Kind::StoreWritesLate,
        Kind::StoreForgets,
        Kind::CallersReset,
        Kind::EndpointCrash,
        Kind::EndpointLeave,
        Kind::EndpointDark,
        Kind::EndpointGrey,
        Kind::EndpointCuts,
        Kind::EndpointForeign,
        Kind::EndpointReset,
        Kind::ConfigGrow,
        Kind::KeyWithdraw,
        Kind::ConfigStorm,
        Kind::DutiesLost,
    ];

    /// Whether every host is disturbed, not just the target.
    pub fn is_wide(self) -> bool {
        matches!(
            self,
            Kind::AllKill
                | Kind::StoreDown
                | Kind::StoreSlow
                | Kind::StoreAnswersLost
                | Kind::StoreWritesLate
                | Kind::StoreForgets
        )
    }

    /// Whether it disturbs hosts at all.
    pub fn is_of_hosts(self) -> bool {
        self.is_wide()
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

    /// Whether it disturbs endpoints.
    pub fn is_of_endpoints(self) -> bool {
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

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fault {
    /// What.
    pub kind: Kind,
    /// Begin, from the start of the run.
    pub at: Duration,
    /// Length.
    pub length: Duration,
    /// Number of the host or endpoint, to be taken modulo their count.
    pub target: usize,
}

/// Faults of one run by their begin. They may overlap.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Schedule {
    /// Seed.
    pub seed: u64,
    /// Length of the run.
    pub length: Duration,
    /// Faults.
    pub faults: Vec<Fault>,
}

impl Schedule {
    /// The schedule of a seed. `kinds` are those that may come.
    pub fn draw(seed: u64, length: Duration, kinds: &[Kind]) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let end = length.saturating_sub(RECOVERY);
        let mut at = WARM_UP;
        let mut faults = Vec::new();
        while at < end {
            let Some(kind) = kinds.choose(&mut rng).copied() else {
                break;
            };
            let longest = (end - at).as_secs_f64().max(LENGTHS.0);
            let drawn = rng.random_range(LENGTHS.0..LENGTHS.1);
            let target = rng.random_range(0..1000);
            let fault = Fault {
                kind,
                at,
                length: Duration::from_secs_f64(drawn.min(longest)),
                target,
            };
            faults.push(fault);
            // One fault in four comes together with the next.
            let gap = match rng.random_ratio(1, 4) {
                true => 0.0,
                false => rng.random_range(0.3..1.7),
            };
            at += GAP.mul_f64(gap);
        }
        Self {
            seed,
            length,
            faults,
        }
    }
}

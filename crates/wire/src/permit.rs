//! Permits to send to an endpoint that has named a limit.
//!
//! A gate calls [`METHOD`] on a control process, which calls [`GRANT`] on an owner of the endpoint.

use std::time::Duration;

use agate_limit::permit::Answer;
use agate_model::id::EndpointId;
use serde::{Deserialize, Serialize};

/// JSON-RPC method that takes [`Question`] from a gate and returns the [`Reply`] of an owner.
pub const METHOD: &str = "agate_permits";
/// JSON-RPC method that takes [`Question`] from a control process and returns [`Reply`].
pub const GRANT: &str = "agate_grant";

/// Question for permits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// Name of the endpoint.
    pub endpoint: EndpointId,
    /// Number of permits that could be used.
    pub wanted: u32,
}

/// Answer of an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Number of permits; 0 for none.
    pub granted: u32,
    /// Time until they can be used, or until the question may be repeated, in milliseconds.
    pub wait_ms: u64,
}

impl From<Answer> for Reply {
    fn from(answer: Answer) -> Self {
        let (granted, wait) = match answer {
            Answer::Granted { count, after } => (count, after),
            Answer::Denied { wait } => (0, wait),
        };
        Self {
            granted,
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

impl From<Reply> for Answer {
    fn from(reply: Reply) -> Self {
        let wait = Duration::from_millis(reply.wait_ms);
        match reply.granted {
            0 => Self::Denied { wait },
            count => Self::Granted { count, after: wait },
        }
    }
}

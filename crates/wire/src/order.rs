//! Endpoint orders to the platform, over HTTP.
//!
//! - `POST /endpoints/orders` takes [`Order`] with the `Idempotency-Key`
//!   header and answers [`Receipt`].
//! - `GET /endpoints` answers a list of [`Machine`]; it lags by seconds.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::manifest::EndpointKind;

/// What is ordered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum Action {
    /// Start one endpoint.
    Start {
        /// Pool that it will serve.
        pool: String,
        /// Availability zone.
        zone: String,
        /// Price class.
        kind: EndpointKind,
    },
    /// Stop an endpoint.
    Stop {
        /// Name of the endpoint.
        endpoint: String,
    },
}

/// One order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Identity; a repeated order has no further effect.
    pub id: String,
    /// Epoch of the sender's lease.
    pub epoch: u64,
    /// Sender, for the platform's records.
    pub sender: String,
    /// What is ordered.
    #[serde(flatten)]
    pub action: Action,
}

/// Outcome of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Receipt {
    /// Carried out.
    Done {
        /// Name of the endpoint.
        endpoint: String,
    },
    /// No capacity of that kind in that availability zone.
    Unavailable,
    /// Refused for an old epoch.
    Fenced {
        /// Highest epoch seen.
        epoch: u64,
    },
}

/// State of an ordered endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Booting; takes no requests.
    Starting,
    /// Serves.
    Running,
    /// Reclaimed or stopped; serves until it is gone.
    Leaving,
}

/// An ordered endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Name of the endpoint.
    pub id: String,
    /// Identity of the order that started it.
    pub order: String,
    /// Pool.
    pub pool: String,
    /// Availability zone.
    pub zone: String,
    /// Price class.
    pub kind: EndpointKind,
    /// Where it listens.
    pub address: SocketAddr,
    /// State.
    pub state: State,
    /// Price, in thousandths of the standard price per hour.
    pub price_milli: u32,
}

/// What is known of a recorded order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "progress", rename_all = "snake_case")]
pub enum Progress {
    /// Recorded; no answer yet, or the answer was lost.
    Open,
    /// Carried out.
    Done {
        /// Name of the endpoint.
        endpoint: String,
    },
    /// Refused for good.
    Refused,
}

/// Row `order/{epoch:020}/{order}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The order as it was last sent.
    pub order: Order,
    /// What is known of it.
    #[serde(flatten)]
    pub progress: Progress,
}

//! Endpoint orders to the platform, over HTTP.
//!
//! - `POST /endpoints/orders` takes [`Order`] with the `Idempotency-Key`
//!   header and returns [`Receipt`].
//! - `GET /endpoints` returns a list of [`Machine`]; it lags by seconds.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::manifest::EndpointKind;

/// Operation that an order requests of the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum Action {
    /// Starts one endpoint.
    Start {
        /// Pool that the new endpoint serves.
        pool: String,
        /// Availability zone in which the endpoint starts.
        zone: String,
        /// Kind of capacity, which determines the price.
        kind: EndpointKind,
    },
    /// Stops an endpoint.
    Stop {
        /// Name of the endpoint to stop.
        endpoint: String,
    },
}

/// Request to start or stop one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Identity of the order; an order with a known identity has no further effect.
    pub id: String,
    /// Lease epoch of the sender, used as the fencing token.
    pub epoch: u64,
    /// Name of the sender, which the platform records.
    pub sender: String,
    /// Operation to carry out.
    #[serde(flatten)]
    pub action: Action,
}

/// Outcome of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Receipt {
    /// The order was carried out.
    Done {
        /// Name of the endpoint that was started or stopped.
        endpoint: String,
    },
    /// The availability zone has no capacity of the requested kind.
    Unavailable,
    /// The order was refused because its epoch is old.
    Fenced {
        /// Highest epoch that the platform has seen.
        epoch: u64,
    },
}

/// Lifecycle state of an ordered endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The endpoint boots and takes no requests yet.
    Starting,
    /// The endpoint serves requests.
    Running,
    /// The endpoint was reclaimed or stopped; it serves until the platform removes it.
    Leaving,
}

/// An ordered endpoint as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Name of the endpoint.
    pub id: String,
    /// Identity of the order that started the endpoint.
    pub order: String,
    /// Name of the pool that the endpoint serves.
    pub pool: String,
    /// Availability zone in which the endpoint runs.
    pub zone: String,
    /// Kind of capacity, which determines the price.
    pub kind: EndpointKind,
    /// Address on which the endpoint listens.
    pub address: SocketAddr,
    /// Lifecycle state of the endpoint.
    pub state: State,
    /// Price, in thousandths of the standard price per hour.
    pub price_milli: u32,
}

/// Outcome of a recorded order as far as it is known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "progress", rename_all = "snake_case")]
pub enum Progress {
    /// The order is recorded; no response has arrived, or the response was lost.
    Open,
    /// The order was carried out.
    Done {
        /// Name of the endpoint that was started or stopped.
        endpoint: String,
    },
    /// The order was refused and is not sent again.
    Refused,
}

/// Row `order/{epoch:020}/{order}`, which records an order and its progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The order as it was last sent.
    pub order: Order,
    /// Outcome of the order as far as it is known.
    #[serde(flatten)]
    pub progress: Progress,
}

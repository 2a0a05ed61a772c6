//! Ordered endpoints and orders, as far as sizing needs them.

use agate_model::endpoint::Kind;
use agate_model::id::{EndpointId, Epoch, PoolId, ZoneId};

/// Identity of an order; a repeated order has no further effect.
pub type OrderId = String;

/// State of an ordered endpoint in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Booting; takes no requests.
    Starting,
    /// Serves.
    Running,
    /// Reclaimed or stopped.
    Leaving,
}

/// Pool, availability zone and kind: what a target and a start order name.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Place {
    /// Pool.
    pub pool: PoolId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Price class.
    pub kind: Kind,
}

/// An ordered endpoint in the platform's lagging list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Name of the endpoint.
    pub id: EndpointId,
    /// Order that started it.
    pub order: OrderId,
    /// Where it runs and what for.
    pub place: Place,
    /// State.
    pub state: State,
}

/// What is ordered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start one endpoint.
    Start(Place),
    /// Stop an endpoint.
    Stop(EndpointId),
}

/// An order to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Identity.
    pub id: OrderId,
    /// What is ordered.
    pub action: Action,
}

/// What is known of a recorded order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Recorded; no answer yet, or the answer was lost.
    Open,
    /// Carried out; a start created this endpoint.
    Done(EndpointId),
    /// Refused for good, for example for lack of capacity.
    Refused,
}

/// A recorded order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The order.
    pub order: Order,
    /// Progress.
    pub progress: Progress,
    /// Whether its last sending is long enough ago to repeat it.
    pub resend: bool,
    /// Whether it was answered so long ago that the platform's list must show the effect.
    pub settled: bool,
}

/// Identity of the `number`th start order of a place in an epoch.
pub fn start_id(epoch: Epoch, place: &Place, number: u64) -> OrderId {
    let kind = match place.kind {
        Kind::Standard => "standard",
        Kind::Reclaimable => "reclaimable",
    };
    format!(
        "start/{epoch}/{}/{}/{kind}/{number}",
        place.pool, place.zone
    )
}

/// Identity of the order that stops an endpoint.
pub fn stop_id(endpoint: &EndpointId) -> OrderId {
    format!("stop/{endpoint}")
}

/// Number of a start order, if it belongs to this place and epoch.
pub(crate) fn start_number(epoch: Epoch, place: &Place, id: &str) -> Option<u64> {
    let prefix = start_id(epoch, place, 0);
    let prefix = prefix.strip_suffix('0')?;
    id.strip_prefix(prefix)?.parse().ok()
}

//! Endpoints ordered from the platform, and the orders for them, as sizing and reconciling see them.

use agate_model::endpoint::Kind;
use agate_model::id::{EndpointId, Epoch, PoolId, ZoneId};

/// Identity of an order. The platform carries out each identity once, so a retry has no further
/// effect.
pub type OrderId = String;

/// State of an ordered endpoint in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Boots and takes no requests yet.
    Starting,
    /// Serves requests.
    Running,
    /// Is being reclaimed by the platform or stopped by an order.
    Leaving,
}

/// Combination of pool, availability zone and kind for which endpoints are planned and started.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Place {
    /// Pool that the endpoints serve.
    pub pool: PoolId,
    /// Availability zone in which the endpoints run.
    pub zone: ZoneId,
    /// Price class of the endpoints: standard or reclaimable.
    pub kind: Kind,
}

/// An ordered endpoint as the platform's list shows it; the list lags behind the orders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Name of the endpoint in the platform's list.
    pub id: EndpointId,
    /// Start order that created the endpoint.
    pub order: OrderId,
    /// Pool, availability zone and kind that the start order named.
    pub place: Place,
    /// State when the list was made.
    pub state: State,
}

/// Change that an order asks the platform for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start one endpoint in this place.
    Start(Place),
    /// Stop this endpoint.
    Stop(EndpointId),
}

/// An order to the platform, for one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Identity, the same for every retry.
    pub id: OrderId,
    /// Change that the platform is to carry out.
    pub action: Action,
}

/// Last known outcome of a recorded order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Recorded, with no response yet; the response may have been lost.
    Open,
    /// Carried out. Names the endpoint, which for a start order is the one that it created.
    Done(EndpointId),
    /// Refused permanently, for example for lack of capacity.
    Refused,
}

/// An order that has been recorded, with what is known of its outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Order that is sent, the same for every attempt.
    pub order: Order,
    /// Last known outcome.
    pub progress: Progress,
    /// Whether the last attempt is long enough ago for a retry.
    pub resend: bool,
    /// Whether the response came so long ago that the platform's list must show the effect.
    pub settled: bool,
}

/// Returns the identity of start order `number` of a place in a lease epoch.
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

/// Returns the identity of the order that stops an endpoint; there is only one per endpoint.
pub fn stop_id(endpoint: &EndpointId) -> OrderId {
    format!("stop/{endpoint}")
}

/// Returns the number of start order `id`, or `None` if it belongs to another place or epoch.
pub(crate) fn start_number(epoch: Epoch, place: &Place, id: &str) -> Option<u64> {
    let prefix = start_id(epoch, place, 0);
    let prefix = prefix.strip_suffix('0')?;
    id.strip_prefix(prefix)?.parse().ok()
}

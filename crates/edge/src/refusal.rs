//! Responses that this host sends itself instead of forwarding one.

use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::{HeaderMap, HeaderValue, RETRY_AFTER};

/// Shortest `Retry-After` of a refusal because the service is busy.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Longest `Retry-After` by the length of a queue, which may be shorter soon.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Longest `Retry-After` of callers who are refused at the same moment, as a multiple of the shortest.
const RETURN_SPREAD: f64 = 1.2;

/// Returns the `Retry-After` where `wait` is the time until the requests that wait now have started.
/// `draw` is evenly distributed between 0 and 1.
pub fn busy_retry_after(wait: Duration, draw: f64) -> Duration {
    spread(wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER), draw)
}

/// Lengthens a wait by a random part, so that callers do not return at the same moment.
pub fn spread(wait: Duration, draw: f64) -> Duration {
    wait.mul_f64(1.0 + (RETURN_SPREAD - 1.0) * draw)
}

/// Why this host responds itself instead of passing on an endpoint's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The request is malformed.
    Malformed,
    /// This process has not loaded a configuration yet.
    NoConfig,
    /// There is no recent evidence that the configuration is the newest.
    Stale,
    /// No route matches host and path.
    RouteUnknown,
    /// The route requires a key, and the request has none or an unknown one.
    KeyUnknown,
    /// The service has no endpoint that accepts requests.
    NoEndpoint,
    /// All endpoints were busy for as long as the request could wait in the queue.
    Full,
    /// The endpoint stated that it has not run the request, and no retry is allowed.
    Declined,
    /// The deadline was too near to send the request.
    TooLate,
    /// The prompt has parts that crash endpoints.
    PromptBlocked,
    /// The process has no memory left for the rest of the request.
    NoMemory,
    /// The host is stopping, and the request may need more time than is left.
    Leaving,
    /// The endpoint failed, and the request may have run.
    EndpointFailed,
    /// The deadline passed after the request was sent.
    TimedOut,
}

impl Reason {
    /// All reasons, so that their counters can start at zero.
    pub const ALL: [Reason; 14] = [
        Reason::Malformed,
        Reason::NoConfig,
        Reason::Stale,
        Reason::RouteUnknown,
        Reason::KeyUnknown,
        Reason::NoEndpoint,
        Reason::Full,
        Reason::Declined,
        Reason::TooLate,
        Reason::PromptBlocked,
        Reason::NoMemory,
        Reason::Leaving,
        Reason::EndpointFailed,
        Reason::TimedOut,
    ];

    /// Returns the stable code of the reason in logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Reason::Malformed => "malformed",
            Reason::NoConfig => "no_config",
            Reason::Stale => "config_stale",
            Reason::RouteUnknown => "route_unknown",
            Reason::KeyUnknown => "key_unknown",
            Reason::NoEndpoint => "no_endpoint",
            Reason::Full => "full",
            Reason::Declined => "declined",
            Reason::TooLate => "too_late",
            Reason::PromptBlocked => "prompt_blocked",
            Reason::NoMemory => "no_memory",
            Reason::Leaving => "leaving",
            Reason::EndpointFailed => "endpoint_failed",
            Reason::TimedOut => "timed_out",
        }
    }

    /// Returns the status of the response. 503 states that the request has not run and will not
    /// run.
    pub fn status(self) -> StatusCode {
        match self {
            Reason::Malformed => StatusCode::BAD_REQUEST,
            Reason::RouteUnknown => StatusCode::NOT_FOUND,
            Reason::KeyUnknown => StatusCode::UNAUTHORIZED,
            Reason::EndpointFailed => StatusCode::BAD_GATEWAY,
            Reason::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Reason::NoConfig
            | Reason::Stale
            | Reason::NoEndpoint
            | Reason::Full
            | Reason::Declined
            | Reason::TooLate
            | Reason::PromptBlocked
            | Reason::NoMemory
            | Reason::Leaving => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// A response of this host itself, without a body.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// Determines the status of the response and the outcome in logs and metrics.
    pub reason: Reason,
    /// Value of the `Retry-After` header; None omits it.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal without `Retry-After`.
    pub fn new(reason: Reason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }

    /// Creates a refusal of a request that may succeed after `wait`.
    pub fn retry_after(reason: Reason, wait: Duration) -> Self {
        Self {
            reason,
            retry_after: Some(wait),
        }
    }

    /// Returns the headers of the response.
    pub fn headers(&self) -> HeaderMap {
        let mut headers = HeaderMap::new();
        if let Some(wait) = self.retry_after {
            let text = format!("{:.2}", wait.as_secs_f64());
            if let Ok(value) = HeaderValue::try_from(text) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        headers
    }
}

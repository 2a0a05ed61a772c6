//! Reasons for which a request is refused, and whether it was executed.

/// Whether a refused request was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Execution {
    /// No byte of the request reached an endpoint, so it was not executed.
    NotRun,
    /// The request may have been executed.
    Unknown,
}

impl Execution {
    /// Returns the form used in headers and error bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not run",
            Self::Unknown => "unknown",
        }
    }
}

/// Defines `Reason` from a list of variants, each with its code and HTTP status.
macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident => $code:literal, $status:literal;)+) => {
        /// Reason for which a request is refused.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum Reason {
            $($(#[$doc])* $name,)+
        }

        impl Reason {
            /// All reasons, so that a counter of each can be registered at zero.
            pub const ALL: &'static [Reason] = &[$(Reason::$name,)+];

            /// Returns the stable code used in error bodies, logs and metrics.
            pub fn code(self) -> &'static str {
                match self {
                    $(Reason::$name => $code,)+
                }
            }

            /// Returns the HTTP status code of the response.
            pub fn status(self) -> u16 {
                match self {
                    $(Reason::$name => $status,)+
                }
            }
        }
    };
}

reasons! {
    /// The request could not be parsed.
    BadRequest => "bad_request", 400;
    /// The request head is larger than allowed.
    HeadTooLarge => "head_too_large", 431;
    /// The request body is larger than allowed.
    BodyTooLarge => "body_too_large", 413;
    /// The request arrived too slowly.
    SlowRequest => "slow_request", 408;
    /// No key was sent on a route that needs one.
    KeyMissing => "key_missing", 401;
    /// More than one key was sent.
    KeyAmbiguous => "key_ambiguous", 400;
    /// The key was sent in the query or in a cookie, where it may be logged.
    KeyMisplaced => "key_misplaced", 400;
    /// The key is unknown, withdrawn or expired.
    KeyInvalid => "key_invalid", 401;
    /// The account may not use this class.
    ClassForbidden => "class_forbidden", 403;
    /// No route matches the path.
    RouteUnknown => "route_unknown", 404;
    /// No route matches the model.
    ModelUnknown => "model_unknown", 404;
    /// The host has no fresh evidence that its configuration is the newest.
    ConfigStale => "config_stale", 503;
    /// The account has too many requests in flight or queued.
    AccountConcurrency => "account_concurrency", 429;
    /// The account exceeded its request or token rate.
    AccountRate => "account_rate", 429;
    /// The queue of the class is full.
    QueueFull => "queue_full", 503;
    /// Requests of a higher tier took the place of this one in the queue.
    Shed => "shed", 503;
    /// The request cannot finish before its deadline.
    DeadlineUnreachable => "deadline_unreachable", 503;
    /// The deadline passed while the request was queued.
    DeadlinePassed => "deadline_passed", 504;
    /// No endpoint of the pools takes new requests.
    NoEndpoint => "no_endpoint", 503;
    /// No endpoint accepted a connection.
    EndpointUnreachable => "endpoint_unreachable", 502;
    /// The endpoint failed after the request was sent.
    EndpointFailed => "endpoint_failed", 502;
    /// The endpoint did not respond before the timeout.
    EndpointTimeout => "endpoint_timeout", 504;
    /// The retry budget of the class is exhausted.
    RetryBudget => "retry_budget", 503;
    /// A request with this idempotency key is in flight.
    ClaimPending => "claim_pending", 409;
    /// A request with this idempotency key was executed with an unknown outcome.
    ClaimUnknown => "claim_unknown", 409;
    /// The idempotency key was used with a different request.
    ClaimMismatch => "claim_mismatch", 422;
    /// The store that keeps claims is unavailable.
    ClaimUnavailable => "claim_unavailable", 503;
    /// The host is shutting down.
    ShuttingDown => "shutting_down", 503;
    /// The host has too many open connections.
    ConnectionLimit => "connection_limit", 503;
}

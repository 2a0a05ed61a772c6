//! Faulty variants of the host, to prove that the soak test detects a broken guarantee.
//!
//! They are compiled in only with the feature `sabotage`, and only the variant that the environment
//! variable `AGATE_SABOTAGE` names is active.

/// Fault that is injected on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// Requests that must run at most once are retried.
    RepeatOnce,
    /// A request that may have run is refused with the statement that it has not run.
    FalseRefusal,
    /// Keys are accepted without evidence that the configuration is the newest.
    StaleKeys,
    /// Responses are passed on regardless of the request that they belong to.
    AnyAnswer,
    /// A shutdown does not wait for requests in flight.
    HastyStop,
    /// The counts of a window that is already frozen are counted anew.
    TwoFigures,
    /// Retries are not limited by the budget.
    GreedyRepeats,
    /// Requests go on to endpoints that say that they are leaving.
    IgnoreLeaving,
    /// Requests go on to endpoints that ask for a pause.
    IgnorePauses,
    /// Limits that endpoints name are not heeded.
    IgnoreLimits,
    /// Requests go on to endpoints in evacuated zones.
    IgnoreEvacuations,
    /// Responses of the store count as of one era, whatever era they name.
    IgnoreEras,
}

/// Returns whether a variant is active.
pub fn is(variant: Variant) -> bool {
    cfg!(feature = "sabotage")
        && std::env::var("AGATE_SABOTAGE").is_ok_and(|name| name == format!("{variant:?}"))
}

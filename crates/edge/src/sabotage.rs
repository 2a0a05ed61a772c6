//! Broken variants, for proof that the soak finds what breaks a promise.
//!
//! They exist only in programs that were built with the feature `sabotage`, and only the one that
//! the environment variable `AGATE_SABOTAGE` names is in force.

/// What is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// Requests that may run once are repeated.
    RepeatOnce,
    /// A request that may have run is refused as not run.
    FalseRefusal,
    /// Keys are honoured without evidence that the configuration is the newest.
    StaleKeys,
    /// Answers are passed on whichever request they belong to.
    AnyAnswer,
    /// A stop does not wait for requests that run.
    HastyStop,
    /// Figures of a window are counted anew when they stand already.
    TwoFigures,
    /// Repeats have no budget.
    GreedyRepeats,
}

/// Whether a variant is in force.
pub fn is(variant: Variant) -> bool {
    cfg!(feature = "sabotage")
        && std::env::var("AGATE_SABOTAGE").is_ok_and(|it| it == format!("{variant:?}"))
}

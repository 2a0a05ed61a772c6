//! Subcommands, one to a module.

pub(crate) mod bench;
pub(crate) mod run;
pub(crate) mod sim;

/// Error of any subcommand, printed once by `main`.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The experiment file is faulty.
    #[error("{0}")]
    Experiment(#[from] agate_model::finding::Report),
    /// A result could not be written.
    #[error("{0}")]
    Report(#[from] agate_load::report::Error),
}

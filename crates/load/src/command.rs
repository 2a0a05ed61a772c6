//! Subcommands of `agate-load`, one in each module.

pub(crate) mod bench;
pub(crate) mod run;
pub(crate) mod sim;

/// Error of any subcommand, printed once by `main`.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The experiment or load file can't be read or has invalid settings.
    #[error("{0}")]
    Settings(#[from] agate_model::finding::Report),
    /// The results can't be written.
    #[error("{0}")]
    Report(#[from] agate_load::report::Error),
}

//! Runner for property tests that several crates share, and a clock for tests that compare times.

pub mod clock;

use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Environment variable that sets the number of cases of a longer run.
pub const CASES_VARIABLE: &str = "AGATE_CASES";

/// Returns a runner with a fixed seed, so that every run gives the same result. It runs `cases`
/// cases, or as many as [`CASES_VARIABLE`] sets; the first `cases` of a longer run are the same.
pub fn runner(cases: u32) -> TestRunner {
    let configured = std::env::var(CASES_VARIABLE).ok();
    let config = Config {
        cases: configured
            .and_then(|text| text.parse().ok())
            .unwrap_or(cases),
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, rng)
}

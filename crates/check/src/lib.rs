//! Property runner shared by tests.

use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Environment variable with the number of cases of a longer run.
pub const CASES_VARIABLE: &str = "AGATE_CASES";

/// A runner with a fixed seed, so that every run gives the same verdict. It tries `cases`
/// cases, or as many as [`CASES_VARIABLE`] names; the first `cases` of a longer run are the same.
pub fn runner(cases: u32) -> TestRunner {
    let asked = std::env::var(CASES_VARIABLE).ok();
    let config = Config {
        cases: asked.and_then(|it| it.parse().ok()).unwrap_or(cases),
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, rng)
}

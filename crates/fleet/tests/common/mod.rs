//! A property runner with a fixed seed.

use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

pub(crate) fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, rng)
}

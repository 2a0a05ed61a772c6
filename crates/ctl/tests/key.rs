//! `agatectl key`, and what credentials permit.

mod workdir;

use workdir::Workdir;

#[test]
fn a_key_is_shown_once_and_stored_as_a_digest() {
    let work = Workdir::with_resources();
    let granted = work.run(&["key", "grant", "smith", "--id", "k1", "--output", "secret"]);
    assert_eq!(granted.code, 0, "{}", granted.err);
    let key = granted.out.trim();
    assert!(key.len() >= 32, "{} characters", key.len());
    let stored = work.run(&["get", "key/k1"]);
    assert_eq!(stored.code, 0);
    assert!(!stored.out.contains(key));
}

#[test]
fn a_withdrawn_key_is_gone() {
    let work = Workdir::with_resources();
    assert_eq!(work.run(&["key", "grant", "smith", "--id", "k1"]).code, 0);
    assert_eq!(work.run(&["key", "withdraw", "k1"]).code, 0);
    assert_eq!(work.run(&["get", "key/k1"]).code, 4);
}

#[test]
fn an_unknown_credential_is_refused() {
    let work = Workdir::new();
    assert_eq!(work.run_as("nobody", &["get"]).code, 5);
}

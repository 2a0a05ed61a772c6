//! Tests of `agatectl key` and of operator credentials.

mod workdir;

use workdir::Workdir;

#[test]
fn a_key_is_printed_when_granted_but_not_by_get() {
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
fn a_withdrawn_key_is_not_found() {
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

//! Tests of `agatectl describe`, `delete`, `watch`, `status` and `host`.

mod workdir;

use workdir::Workdir;

#[test]
fn describe_lists_the_resources_that_refer_to_a_resource() {
    let work = Workdir::with_resources();
    let printed = work.run(&["describe", "class/chat"]);
    assert!(
        printed.out.contains("# used by account/smith"),
        "{}",
        printed.out
    );
}

#[test]
fn a_deleted_resource_is_not_found() {
    let work = Workdir::with_resources();
    assert_eq!(work.run(&["delete", "account/smith"]).code, 0);
    assert_eq!(work.run(&["delete", "account/smith"]).code, 4);
}

#[test]
fn a_class_in_use_cannot_be_deleted() {
    let work = Workdir::with_resources();
    let printed = work.run(&["delete", "class/chat"]);
    assert_eq!(printed.code, 2, "{}", printed.err);
}

#[test]
fn watch_prints_the_changes_after_a_version() {
    let work = Workdir::with_resources();
    let printed = work.run(&["watch", "--from", "1", "--count", "1"]);
    let lines: Vec<&str> = printed
        .out
        .lines()
        .filter_map(|line| line.split_once(' ').map(|(_, edit)| edit))
        .collect();
    assert_eq!(lines, ["put class/chat", "put account/smith"]);
}

#[test]
fn status_lists_the_host() {
    let work = Workdir::new();
    let printed = work.run(&["status"]);
    assert_eq!(printed.code, 0);
    assert!(printed.out.contains("host-1"), "{}", printed.out);
}

#[test]
fn an_unreachable_server_has_exit_code_6() {
    let work = Workdir::new();
    let printed = work.run(&["status", "--server", "127.0.0.1:1"]);
    assert_eq!(printed.code, 6);
}

#[test]
fn a_host_that_runs_cannot_be_declared_as_ended() {
    let work = Workdir::new();
    let printed = work.run(&["host", "ended", "host-1"]);
    assert_eq!(printed.code, 4, "{}", printed.err);
    assert_eq!(work.run(&["host", "ended", "nobody"]).code, 4);
}

//! Tests of `agatectl apply` and `diff`, with their output and exit codes.

mod workdir;

use workdir::{RESOURCES, Workdir};

#[test]
fn applied_resources_are_listed() {
    let work = Workdir::with_resources();
    let listed = work.run(&["get"]);
    let ids: Vec<&str> = listed
        .out
        .lines()
        .filter_map(|line| line.split_whitespace().nth(1))
        .collect();
    assert_eq!(ids, ["ID", "smith", "chat"]);
}

#[test]
fn all_faults_of_a_file_are_printed_with_their_lines() {
    let work = Workdir::new();
    let text = "kind: class\nid: chat\ntier: 9\n\
                target: { first_token: 2s, between_tokens: 28ms, deadline: 1s }\n\
                ---\nkind: pool\nid: engines\nsize: 3\n";
    work.write("bad.yaml", text);
    let printed = work.run(&["apply", "-f", "bad.yaml"]);
    assert_eq!(printed.code, 2);
    insta::assert_snapshot!(printed.err);
}

#[test]
fn an_undeclared_reference_is_refused_by_the_server() {
    let work = Workdir::new();
    work.write("key.yaml", "kind: account\nid: smith\nclasses: [none]\n");
    let printed = work.run(&["apply", "-f", "key.yaml"]);
    assert_eq!(printed.code, 2);
    assert!(printed.err.contains("account/smith"), "{}", printed.err);
}

#[test]
fn a_conflict_prints_the_given_and_the_current_resource() {
    let work = Workdir::with_resources();
    work.write("account.yaml", "kind: account\nid: smith\nweight: 3\n");
    let printed = work.run(&["apply", "-f", "account.yaml", "--expect", "0"]);
    assert_eq!(printed.code, 3);
    assert!(printed.err.contains("yours:"), "{}", printed.err);
    assert!(printed.err.contains("current:"), "{}", printed.err);
}

#[test]
fn diff_prints_changed_lines_and_exits_with_10_if_there_are_any() {
    let work = Workdir::with_resources();
    work.write("same.yaml", RESOURCES);
    assert_eq!(work.run(&["diff", "-f", "same.yaml"]).code, 0);
    work.write("other.yaml", &RESOURCES.replace("tier: 1", "tier: 2"));
    let printed = work.run(&["diff", "-f", "other.yaml"]);
    assert_eq!(printed.code, 10);
    assert_eq!(printed.out, "class/chat\n- tier: 1\n+ tier: 2\n");
}

#[test]
fn a_dry_run_changes_nothing() {
    let work = Workdir::with_resources();
    work.write("pool.yaml", "kind: pool\nid: engines\n");
    assert_eq!(work.run(&["apply", "-f", "pool.yaml", "--dry-run"]).code, 0);
    assert_eq!(work.run(&["get", "pool/engines"]).code, 4);
}

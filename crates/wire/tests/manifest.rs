//! Conversion of manifests to resources: each fault in a manifest is reported with its place.

use agate_model::finding::Report;
use agate_model::resource::Spec;
use agate_wire::manifest::Manifest;
use rstest::rstest;
use serde_json::json;

fn findings(value: serde_json::Value) -> Vec<String> {
    let manifest: Manifest =
        serde_json::from_value(value).expect("the JSON has the form of a manifest");
    match Spec::try_from(manifest) {
        Ok(_) => Vec::new(),
        Err(Report { findings }) => findings.into_iter().map(|finding| finding.place).collect(),
    }
}

#[test]
fn all_faults_of_a_class_are_reported_together() {
    let class = json!({
        "kind": "class", "id": "bid", "tier": 9, "weight": 0, "idempotent": false, "hedge": true,
        "target": {"first_token": "2s", "between_tokens": "28ms", "deadline": "1s"},
    });
    let places = findings(class);
    assert_eq!(
        places,
        [
            "class/bid.tier",
            "class/bid.weight",
            "class/bid.target.first_token",
            "class/bid.hedge"
        ]
    );
}

#[rstest]
#[case(json!({"kind": "route", "id": "r", "class": "c", "pools": ["p"]}), "route/r")]
#[case(json!({"kind": "route", "id": "r", "class": "c", "pools": ["p"], "prefix": "/v1/x"}), "route/r.prefix")]
#[case(json!({"kind": "route", "id": "r", "class": "c", "pools": [], "prefix": "/x"}), "route/r.pools")]
#[case(json!({"kind": "key", "id": "k", "account": "a", "digest": "00"}), "key/k.digest")]
#[case(json!({"kind": "account", "id": "a b"}), "account/a b")]
fn a_single_fault_is_reported_with_its_place(
    #[case] value: serde_json::Value,
    #[case] place: &str,
) {
    assert_eq!(findings(value), [place]);
}

#[test]
fn unknown_fields_are_refused() {
    let value = json!({"kind": "pool", "id": "p", "size": 3});
    assert!(serde_json::from_value::<Manifest>(value).is_err());
}

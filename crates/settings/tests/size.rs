//! Parsing and printing of sizes.

use agate_settings::size::Size;
use rstest::rstest;

#[rstest]
#[case("128MiB", 128 << 20)]
#[case("1 KiB", 1024)]
#[case("0B", 0)]
fn size_is_parsed(#[case] text: &str, #[case] bytes: u64) {
    assert_eq!(text.parse(), Ok(Size(bytes)));
}

#[rstest]
#[case("12")]
#[case("MiB")]
#[case("-1B")]
#[case("99999999999999GiB")]
fn malformed_sizes_are_rejected(#[case] text: &str) {
    assert!(text.parse::<Size>().is_err());
}

#[rstest]
#[case(0, "0B")]
#[case(1536, "1536B")]
#[case(128 << 20, "128MiB")]
fn size_is_printed(#[case] bytes: u64, #[case] text: &str) {
    assert_eq!(Size(bytes).to_string(), text);
}

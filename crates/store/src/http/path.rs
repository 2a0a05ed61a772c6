//! Percent-encoding of table names, row keys and object names in URLs.

use std::fmt::Write as _;

/// Percent-encodes every byte except unreserved characters, `:` and `/`.
pub fn encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-_.~:/".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            write!(encoded, "%{byte:02X}").expect("writing to a String cannot fail");
        }
    }
    encoded
}

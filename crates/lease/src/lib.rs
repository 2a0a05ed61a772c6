//! Lease rules: acquisition, renewal, expiry and fenced orders.

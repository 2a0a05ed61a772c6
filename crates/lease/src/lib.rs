//! Lease rules: acquisition, renewal, expiry and fenced orders.
//!
//! One row of the store names the holder. Its [`row::Row::epoch`] grows with every
//! change of holder and is the fencing number of all orders. The types here hold
//! the rules and do no I/O; times are readings of the monotonic clock of one
//! process and are never compared with those of another.
//!
//! What is guaranteed, and under which assumptions, is in `docs/design/lease.md`.

pub mod candidate;
pub mod holder;
pub mod permit;
pub mod row;
pub mod terms;

pub use candidate::{Attempt, Candidate, Settlement, Verdict};
pub use holder::{Holder, Lost, Renewal};
pub use permit::{Permit, Ticket};
pub use row::{Row, Seen};
pub use terms::Terms;

//! Lease rules: acquisition, renewal, expiry and fenced orders.
//!
//! One row of the store names the lease holder. Its [`row::Row::epoch`] grows with every change
//! of holder and is the fencing epoch of all orders. The types here implement the rules and do no
//! I/O. Times are readings of the monotonic clock of one process and are never compared with
//! those of another.
//!
//! `docs/design/lease.md` states what is guaranteed, and under which assumptions.

pub mod candidate;
pub mod holder;
pub mod permit;
pub mod row;
pub mod terms;

pub use candidate::{Attempt, Candidate, Settlement, Verdict};
pub use holder::{Holder, Lost, Renewal};
pub use permit::{Permit, Ticket};
pub use row::{Entry, Row};
pub use terms::Terms;

//! Sizing of pools, placement of endpoints and version roll-out.
//!
//! A [`plan::Planner`] turns the demand of one pool into targets for each
//! availability zone and kind. [`reconcile::reconcile`] turns targets, the
//! platform's list and the recorded orders into orders. [`roll::Roll`] shifts a
//! pool to a new version in steps.

pub mod demand;
pub mod machine;
pub mod plan;
pub mod reconcile;
pub mod roll;

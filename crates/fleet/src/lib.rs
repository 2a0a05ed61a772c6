//! Sizes pools, places endpoints and rolls out new versions.
//!
//! A [`plan::Planner`] turns the demand of one pool into targets for each availability zone and
//! kind. [`reconcile::reconcile`] turns the targets, the platform's list and the recorded orders
//! into new orders. A [`rollout::Rollout`] moves a pool to a new version in steps.

pub mod demand;
pub mod machine;
pub mod plan;
pub mod reconcile;
pub mod rollout;

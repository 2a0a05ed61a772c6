//! Sizing of pools, placement of models and version roll-out.

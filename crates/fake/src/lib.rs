//! Stand-ins for the platform, model engines and plain services.

pub mod memory;
pub mod table;

//! Control process: resource API, membership, configuration, endpoint orders and usage reports.

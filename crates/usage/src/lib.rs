//! Usage counters, reporting windows and their closing.

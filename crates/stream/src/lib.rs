//! Reassembly of streamed answers.

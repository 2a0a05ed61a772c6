//! Configuration versions: acceptance, hand-out and proof that a copy is current.

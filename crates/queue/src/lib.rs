//! Admission, tiers and fair shares between client accounts.

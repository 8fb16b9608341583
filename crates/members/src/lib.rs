//! Membership decisions: votes, the quorum lease, and ownership of groups.

pub mod rank;

//! Tests of the real processes over loopback, with kills, pauses and outages.
//!
//! The tests are in `tests/`; they need the binaries that
//! `cargo test --workspace` builds.

//! End-to-end tests that run the real binaries on loopback and inject faults:
//! killed and paused processes, store outages, rolling restarts.
//!
//! The tests are in `tests/`; they need the binaries that
//! `cargo test --workspace` builds.

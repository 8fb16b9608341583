//! Simulation of gates and backend servers on a manual clock.

#![allow(dead_code, clippy::unwrap_used)]

pub mod large;
pub mod naive;
pub mod sim;
pub mod world;

//! The planners' sheet: a CSV file that declares availability zones, services
//! and backend servers. Parsing, validation and comparison; no I/O.

mod check;
mod columns;
mod rows;

pub mod diff;
pub mod problem;
pub mod sheet;
pub mod time;

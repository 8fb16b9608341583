//! Parses, validates and compares sheets. A sheet is a CSV file, exported by
//! the capacity planners, that declares availability zones, services and
//! backend servers. No I/O.

mod check;
mod columns;
mod rows;

pub mod diff;
pub mod problem;
pub mod sheet;
pub mod time;

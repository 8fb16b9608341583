//! Randomized fault soak: real processes of chervillink between stand-ins of
//! the platform's store, of backend servers and of callers. Faults are injected
//! from outside, and the promises are checked while the soak runs, from what
//! callers and backend servers see.

pub mod backend;
pub mod caller;
pub mod faults;
pub mod host;
pub mod operator;
pub mod platform;
pub mod proxy;
pub mod recorder;
pub mod run;
pub mod store;

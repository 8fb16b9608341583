//! Randomized fault soak: runs real chervillink processes against in-process
//! stand-ins of the platform's store, of backend servers and of callers. Faults
//! are injected from outside the processes, and the guarantees are checked
//! during the run from what callers and backend servers observe.

pub mod announcement;
pub mod backend;
pub mod broken;
pub mod caller;
pub mod faults;
pub mod host;
pub mod operator;
pub mod platform;
pub mod proxy;
pub mod recorder;
pub mod rotation;
pub mod run;
pub mod store;

//! Stand-in of the load balancer in front of the hosts.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use rand::RngExt as _;
use rand::rngs::SmallRng;

/// Ports of all hosts, and whether each is in rotation. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Rotation {
    hosts: Arc<Mutex<Vec<(u16, bool)>>>,
}

impl Rotation {
    /// Puts a host into rotation or takes it out.
    pub fn set(&self, port: u16, in_rotation: bool) {
        let mut hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        hosts.retain(|(p, _)| *p != port);
        hosts.push((port, in_rotation));
    }

    /// A random host for a new connection: one in rotation, or any of them if fewer than half
    /// are. `None` if there is no host.
    pub fn choose(&self, rng: &mut SmallRng) -> Option<u16> {
        let hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        let all = hosts.iter().map(|(port, _)| *port);
        let ready = hosts.iter().filter(|(_, in_rotation)| *in_rotation).map(|(port, _)| *port);
        let mut ports: Vec<u16> = ready.collect();
        if ports.len() * 2 < hosts.len() {
            ports = all.collect();
        }
        (!ports.is_empty()).then(|| ports[rng.random_range(0..ports.len())])
    }
}

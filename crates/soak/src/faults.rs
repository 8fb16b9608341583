//! Faults that the soak injects, and their ends.

use std::time::Duration;

use rand::RngExt as _;
use rand::rngs::SmallRng;

use crate::backend::BackendMode;
use crate::proxy::LinkMode;
use crate::store::StoreMode;

/// Shortest and longest duration of a fault in milliseconds.
const DURATION_MS: (u64, u64) = (300, 2_500);

/// A fault, with the index of what it hits.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The link to a backend server changes.
    BackendLink(usize, LinkMode),
    /// A backend server behaves badly.
    Backend(usize, BackendMode),
    /// The store is in trouble.
    Store(StoreMode),
    /// The store drops its history.
    CompactStore,
    /// The link between a host and the store changes.
    StoreLink(usize, LinkMode),
    /// A process is killed and started again.
    KillHost(usize),
    /// All processes are killed and started again.
    KillAllHosts,
    /// A process stands still.
    PauseHost(usize),
    /// A process is told to stop, and started again when it has.
    StopHost(usize),
    /// A process is told that its settings have changed.
    ReloadHost(usize),
    /// A backend server drains and comes back.
    DrainBackend(usize),
    /// A backend server leaves the registry and comes back.
    RemoveBackend(usize),
    /// The configuration changes.
    ChangeConfig,
}

impl Fault {
    /// Whether the bounds on planned changes go on while it is in force.
    pub fn is_planned(self) -> bool {
        matches!(
            self,
            Fault::StopHost(_)
                | Fault::ReloadHost(_)
                | Fault::DrainBackend(_)
                | Fault::RemoveBackend(_)
                | Fault::ChangeConfig
        )
    }

    /// A planned change.
    pub fn random_planned(rng: &mut SmallRng, hosts: usize, backends: usize) -> Fault {
        let (host, backend) = (rng.random_range(0..hosts), rng.random_range(0..backends));
        match rng.random_range(0..5) {
            0 => Fault::StopHost(host),
            1 => Fault::ReloadHost(host),
            2 => Fault::DrainBackend(backend),
            3 => Fault::RemoveBackend(backend),
            _ => Fault::ChangeConfig,
        }
    }

    /// Any fault.
    pub fn random(rng: &mut SmallRng, hosts: usize, backends: usize) -> Fault {
        let (host, backend) = (rng.random_range(0..hosts), rng.random_range(0..backends));
        let link_modes = [LinkMode::Slow, LinkMode::Reset, LinkMode::OneWay, LinkMode::Blackhole];
        let link_mode = link_modes[rng.random_range(0..link_modes.len())];
        let backend_modes = [BackendMode::Slow, BackendMode::Refusing, BackendMode::LostReplies];
        let backend_mode = backend_modes[rng.random_range(0..backend_modes.len())];
        let store_modes = [StoreMode::Unavailable, StoreMode::LostReplies, StoreMode::Slow];
        let store_mode = store_modes[rng.random_range(0..store_modes.len())];
        match rng.random_range(0..16) {
            0..=3 => Fault::BackendLink(backend, link_mode),
            4..=6 => Fault::Backend(backend, backend_mode),
            7 => Fault::Store(store_mode),
            8 => Fault::CompactStore,
            9 | 10 => Fault::StoreLink(host, link_mode),
            11 => Fault::KillHost(host),
            12 => Fault::PauseHost(host),
            13 if rng.random_bool(0.3) => Fault::KillAllHosts,
            _ => Fault::random_planned(rng, hosts, backends),
        }
    }

    /// Time for which a fault lasts.
    pub fn random_duration(rng: &mut SmallRng) -> Duration {
        Duration::from_millis(rng.random_range(DURATION_MS.0..DURATION_MS.1))
    }
}

//! Random choice of the faults that the soak injects, and of their durations.

use std::time::Duration;

use rand::RngExt as _;
use rand::rngs::SmallRng;

use crate::backend::BackendMode;
use crate::proxy::LinkMode;
use crate::store::StoreMode;

/// Duration of a fault in milliseconds: minimum, and exclusive maximum.
const DURATION_MS: (u64, u64) = (300, 2_500);

/// A fault, with the index of the host or backend server that it affects.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// Network fault between the hosts and a backend server.
    BackendLink(usize, LinkMode),
    /// Fault of a backend server.
    Backend(usize, BackendMode),
    /// Fault of the store.
    Store(StoreMode),
    /// The store compacts its history.
    CompactStore,
    /// The store is away and comes back from a copy of this age.
    RestoreStore(Duration),
    /// Network fault between a host and the store.
    StoreLink(usize, LinkMode),
    /// A host is killed and started again.
    KillHost(usize),
    /// All hosts are killed at once and started again, after a third of the
    /// duration of the fault.
    KillAllHosts,
    /// A host is suspended with SIGSTOP and resumed.
    PauseHost(usize),
    /// A host is stopped with SIGTERM, and started again once it has exited.
    StopHost(usize),
    /// A host is told with SIGHUP to reload its settings.
    ReloadHost(usize),
    /// A backend server is drained and comes back.
    DrainBackend(usize),
    /// A backend server is removed from the registry without a drain and comes
    /// back.
    RemoveBackend(usize),
    /// The next version of the configuration is written.
    ChangeConfig,
    /// A backend server says in its answers that it leaves, stays registered as ready, and is
    /// replaced by a new instance.
    AnnounceLeaving(usize),
    /// A backend server refuses all requests and asks for a pause.
    AskForPause(usize),
}

impl Fault {
    /// Whether this is a planned change, during which the bounds on planned
    /// changes still apply.
    pub fn is_planned(self) -> bool {
        matches!(
            self,
            Fault::StopHost(_)
                | Fault::ReloadHost(_)
                | Fault::DrainBackend(_)
                | Fault::RemoveBackend(_)
                | Fault::ChangeConfig
                | Fault::AnnounceLeaving(_)
                | Fault::AskForPause(_)
        )
    }

    /// Draws a planned change.
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

    /// Draws any fault, planned or not.
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

    /// Draws one of the faults that `random` does not have.
    pub fn random_later(rng: &mut SmallRng, backends: usize) -> Fault {
        let backend = rng.random_range(0..backends);
        match rng.random_range(0..3) {
            0 => Fault::AnnounceLeaving(backend),
            1 => Fault::AskForPause(backend),
            _ => Fault::BackendLink(backend, LinkMode::OneWayBack),
        }
    }

    /// Draws the duration of a fault.
    pub fn random_duration(rng: &mut SmallRng) -> Duration {
        Duration::from_millis(rng.random_range(DURATION_MS.0..DURATION_MS.1))
    }
}

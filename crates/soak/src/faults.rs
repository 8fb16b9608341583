//! Faults that the soak injects, and their ends.

use std::time::Duration;

use rand::RngExt as _;
use rand::rngs::SmallRng;

use crate::backend::Manner;
use crate::proxy::Link;
use crate::store::Mood;

/// Shortest and longest duration of a fault in milliseconds.
const LENGTH_MS: (u64, u64) = (300, 2_500);

/// A fault, with the index of what it hits.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The link to a backend server changes.
    Link(usize, Link),
    /// A backend server behaves badly.
    Manner(usize, Manner),
    /// The store is in trouble.
    Mood(Mood),
    /// The store drops its history.
    Compact,
    /// The link between a host and the store changes.
    StoreLink(usize, Link),
    /// A process is killed and started again.
    Kill(usize),
    /// All processes are killed and started again.
    KillAll,
    /// A process stands still.
    Pause(usize),
    /// A process is told to stop, and started again when it has.
    Stop(usize),
    /// A process is told that its settings have changed.
    Reload(usize),
    /// A backend server drains and comes back.
    Drain(usize),
    /// A backend server leaves the registry and comes back.
    Remove(usize),
    /// The configuration changes.
    Configure,
}

impl Fault {
    /// Whether the bounds on planned changes go on while it is in force.
    pub fn is_planned(self) -> bool {
        matches!(
            self,
            Fault::Stop(_)
                | Fault::Reload(_)
                | Fault::Drain(_)
                | Fault::Remove(_)
                | Fault::Configure
        )
    }

    /// A planned change.
    pub fn planned(rng: &mut SmallRng, hosts: usize, backends: usize) -> Fault {
        let (host, backend) = (rng.random_range(0..hosts), rng.random_range(0..backends));
        match rng.random_range(0..5) {
            0 => Fault::Stop(host),
            1 => Fault::Reload(host),
            2 => Fault::Drain(backend),
            3 => Fault::Remove(backend),
            _ => Fault::Configure,
        }
    }

    /// Any fault.
    pub fn any(rng: &mut SmallRng, hosts: usize, backends: usize) -> Fault {
        let (host, backend) = (rng.random_range(0..hosts), rng.random_range(0..backends));
        let links = [Link::Slow, Link::Reset, Link::OneWay, Link::Silent];
        let link = links[rng.random_range(0..links.len())];
        let manners = [Manner::Slow, Manner::Full, Manner::Cut];
        let manner = manners[rng.random_range(0..manners.len())];
        let moods = [Mood::Busy, Mood::Lossy, Mood::Slow];
        let mood = moods[rng.random_range(0..moods.len())];
        match rng.random_range(0..16) {
            0..=3 => Fault::Link(backend, link),
            4..=6 => Fault::Manner(backend, manner),
            7 => Fault::Mood(mood),
            8 => Fault::Compact,
            9 | 10 => Fault::StoreLink(host, link),
            11 => Fault::Kill(host),
            12 => Fault::Pause(host),
            13 if rng.random_bool(0.3) => Fault::KillAll,
            _ => Fault::planned(rng, hosts, backends),
        }
    }

    /// Time for which a fault lasts.
    pub fn length(rng: &mut SmallRng) -> Duration {
        Duration::from_millis(rng.random_range(LENGTH_MS.0..LENGTH_MS.1))
    }
}

//! Why a host may not send to a backend server.

use chervil_base::value;

value! {
    /// What keeps a host from sending to a backend server: first requests, repeated and hedged
    /// ones, those of other hosts, and checks alike.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub enum Obstacle {
        /// It was removed from the registry or replaced by another instance.
        Unknown,
        /// It is draining by its registry entry.
        Draining,
        /// It has said in an answer that it leaves.
        Leaving,
        /// Another backend server has answered at its address.
        AddressReused,
        /// Its availability zone is evacuated.
        ZoneEvacuated,
        /// It has asked for a pause.
        Paused,
        /// It is cold and takes no further request of this host now.
        Cold,
        /// The limit that it names allows this host no further request now.
        Limited,
    }
}

impl Obstacle {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Obstacle::Unknown => "unknown",
            Obstacle::Draining => "draining",
            Obstacle::Leaving => "leaving",
            Obstacle::AddressReused => "address_reused",
            Obstacle::ZoneEvacuated => "zone_evacuated",
            Obstacle::Paused => "paused",
            Obstacle::Cold => "cold",
            Obstacle::Limited => "limited",
        }
    }
}

//! What hosts keep to after the registry was restored from an older copy.
//!
//! Load pattern: the registry is away for a moment and comes back without what was written
//! in the seconds before. Backend servers and operators write it again, but until then the
//! registry lists servers that have left, calls leaving ones ready, and does not list zones
//! as evacuated. A host that knows better withholds such changes until the registry has
//! had time to become complete. What it still says then holds.

use std::time::Duration;
use std::time::Instant;

use chervil_base::HashMap;
use chervil_base::HashSet;
use chervil_base::value;

use crate::fleet::BackendEntry;
use crate::fleet::Fleet;

/// Time for which the departure of a backend server is remembered. Copies are some seconds
/// old.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(60);

/// Most departures that are remembered.
const MAX_DEPARTURES: usize = 4_096;

value! {
    /// Changes that a restored registry has not stated again, and those withheld meanwhile.
    #[derive(Default)]
    pub struct Restoration {
        /// End of the time in which changes are withheld.
        until: Option<Instant>,
        /// Backend servers that have left recently, and when.
        departed: HashMap<Box<str>, (BackendEntry, Instant)>,
        /// Entries that would bring back a departed backend server, or make a draining one
        /// ready.
        entries: HashMap<Box<str>, BackendEntry>,
        /// Zones whose evacuation is no longer listed.
        zones: HashSet<Box<str>>,
    }

    /// Changes that were withheld.
    pub struct Withheld {
        /// Entries of backend servers.
        pub entries: Vec<BackendEntry>,
        /// Zones whose evacuation was revoked.
        pub zones: Vec<Box<str>>,
    }
}

impl Restoration {
    /// Remembers a backend server that has left.
    pub fn record_departure(&mut self, entry: BackendEntry, now: Instant) {
        if self.departed.len() >= MAX_DEPARTURES {
            let oldest = self.departed.iter().min_by_key(|(_, (_, left_at))| *left_at);
            let oldest = oldest.map(|(id, _)| id.clone());
            oldest.map(|id| self.departed.remove(&id));
        }
        self.departed.insert(entry.id.clone(), (entry, now));
    }

    /// Withholds changes for a while, because the registry was restored.
    pub fn begin(&mut self, time: Duration, now: Instant) {
        self.until = Some(now + time);
        self.departed.retain(|_, (_, left_at)| now.duration_since(*left_at) < DEPARTURE_RETENTION);
    }

    /// Whether an entry must be withheld: it brings back a backend server that has departed,
    /// or makes one ready that is draining.
    pub fn withholds(&mut self, entry: &BackendEntry, fleet: &Fleet) -> bool {
        if self.until.is_none() {
            return false;
        }
        let withheld = match fleet.entry(&entry.id) {
            Some(known) => known.draining && !entry.draining && is_same_instance(known, entry),
            None => self.departed.get(&entry.id).is_some_and(|(d, _)| is_same_instance(d, entry)),
        };
        if withheld {
            self.entries.insert(entry.id.clone(), entry.clone());
        } else {
            self.entries.remove(&entry.id);
        }
        withheld
    }

    /// Whether the revocation of a zone's evacuation must be withheld.
    pub fn withholds_revocation(&mut self, zone: &str) -> bool {
        let withheld = self.until.is_some();
        if withheld {
            self.zones.insert(zone.into());
        }
        withheld
    }

    /// Drops the withheld entry of a backend server that the registry no longer lists.
    pub fn forget_entry(&mut self, id: &str) {
        self.entries.remove(id);
    }

    /// Drops the withheld revocation for a zone that the registry lists as evacuated.
    pub fn forget_revocation(&mut self, zone: &str) {
        self.zones.remove(zone);
    }

    /// Drops all that is withheld, before a full state that states it again.
    pub fn forget_all(&mut self) {
        self.entries.clear();
        self.zones.clear();
    }

    /// Whether any change is withheld.
    pub fn is_withholding(&self) -> bool {
        !self.entries.is_empty() || !self.zones.is_empty()
    }

    /// Ends the time in which changes are withheld if it is over, and returns them.
    pub fn finish(&mut self, now: Instant) -> Option<Withheld> {
        self.until.take_if(|until| *until <= now)?;
        let entries = std::mem::take(&mut self.entries).into_values().collect();
        let zones = std::mem::take(&mut self.zones).into_iter().collect();
        Some(Withheld { entries, zones })
    }
}

/// Whether two entries of an id are of the same start of a backend server.
fn is_same_instance(a: &BackendEntry, b: &BackendEntry) -> bool {
    a.started_at_ms == b.started_at_ms && a.address == b.address && a.service == b.service
}

//! Agreement of many hosts that a backend server is in trouble.
//!
//! One host of many sees a backend server too seldom to tell a slow one from
//! one that pauses. All hosts report what they see to the host that they
//! follow, which tells all of them to avoid a backend server once reports of it
//! go on for longer than a pause.

use std::time::Duration;
use std::time::Instant;

use chervil_base::HashMap;
use chervil_base::value;

/// Time over which reports count as one.
const SLOT: Duration = Duration::from_millis(200);

/// Slots that are looked back over.
const SLOTS: u32 = 6;

/// Slots with a report that make trouble; a pause of a quarter of a second
/// fills two or three.
const NEEDED: u32 = 4;

/// Time after which the hosts are told again.
const REPEAT: Duration = Duration::from_millis(1_000);

value! {
    /// Reports of all backend servers.
    #[derive(Default)]
    pub struct DegradationDetector {
        servers: HashMap<Box<str>, Reports>,
    }

    #[derive(Copy)]
    struct Reports {
        /// Slots with a report; the lowest bit is that of the last report.
        slots: u64,
        last: Instant,
        told: Option<Instant>,
    }
}

impl DegradationDetector {
    /// Takes in a report; true if the hosts are to avoid the backend server.
    pub fn report(&mut self, id: &str, now: Instant) -> bool {
        let Some(reports) = self.servers.get_mut(id) else {
            self.servers.insert(id.into(), Reports { slots: 1, last: now, told: None });
            return false;
        };
        let passed = now.duration_since(reports.last).as_millis() / SLOT.as_millis();
        if passed > 0 {
            let shift = u32::try_from(passed).unwrap_or(u32::MAX);
            reports.slots = reports.slots.checked_shl(shift).unwrap_or(0) | 1;
            reports.last = now;
        }
        let recent = reports.slots & ((1 << SLOTS) - 1);
        let due = reports.told.is_none_or(|t| now.duration_since(t) >= REPEAT);
        let tell = recent.count_ones() >= NEEDED && due;
        if tell {
            reports.told = Some(now);
        }
        tell
    }
}

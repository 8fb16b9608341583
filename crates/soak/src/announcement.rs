//! What a backend server announces in its answers, and the requests that it gets all the same.

use std::time::Duration;
use std::time::Instant;

use chervil_base::HashMap;

use crate::platform;
use crate::recorder::Recorder;

/// Time past the bound within which a request that is already in flight may
/// still arrive.
const IN_FLIGHT_ALLOWANCE: Duration = Duration::from_millis(400);

/// Time after the answer from which a pause is in force.
const PAUSE_NOTICE: Duration = Duration::from_millis(500);

/// Most requests of one host in a pause that is in force.
const MAX_PAUSED_REQUESTS: u32 = 2;

/// What a backend server announces in each answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Announcement {
    /// That it leaves.
    Leaving,
    /// With refusals, that it wants no request for this time.
    Pause(Duration),
}

/// An announcement and the hosts that have heard it, by port.
#[derive(Debug)]
pub struct Announced {
    /// What is announced.
    pub announcement: Announcement,
    hosts: HashMap<u16, Heard>,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Instant,
    /// Requests that came while the pause was in force.
    paused_requests: u32,
}

impl Announced {
    /// An announcement that no host has heard yet.
    pub fn new(announcement: Announcement) -> Announced {
        Announced { announcement, hosts: HashMap::default() }
    }

    /// Records a request that came through a host, which hears the announcement in its answer.
    /// Returns what the request violates, if anything. A host that was disturbed since it heard
    /// the announcement is excused.
    pub fn record(&mut self, host: u16, recorder: &Recorder) -> Option<String> {
        if recorder.is_unaware(host) {
            return None;
        }
        let now = Instant::now();
        let heard = self.hosts.get_mut(&host).filter(|h| !recorder.was_disturbed(host, h.at));
        let Some(heard) = heard else {
            self.hosts.insert(host, Heard { at: now, paused_requests: 0 });
            return None;
        };
        let elapsed = now.duration_since(heard.at);
        match self.announcement {
            Announcement::Leaving => {
                let bound = Duration::from_millis(platform::CHANGE_BOUND_MS) + IN_FLIGHT_ALLOWANCE;
                (elapsed > bound).then(|| {
                    format!("a request of the host at {host} came {elapsed:?} after it heard that the server leaves")
                })
            }
            Announcement::Pause(time) if elapsed > time => {
                *heard = Heard { at: now, paused_requests: 0 };
                None
            }
            Announcement::Pause(_) => {
                heard.paused_requests += u32::from(elapsed > PAUSE_NOTICE);
                (heard.paused_requests > MAX_PAUSED_REQUESTS).then(|| {
                    format!("{} requests of the host at {host} in a pause", heard.paused_requests)
                })
            }
        }
    }
}

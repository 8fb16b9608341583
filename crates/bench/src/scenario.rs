//! Scenarios: which faults occur in a phase, and when.

use std::str::FromStr;

use serde_json::Value;
use serde_json::json;
use snafu::Snafu;

/// Text in a query that crashes a simulated server.
pub const CRASH_MARKER: &str = "crash-the-server";

/// Sequence of events during a phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// No faults.
    Steady,
    /// 1 in 100 replies is delayed by 500 ms.
    Stragglers,
    /// A zone is taken out of service, goes down, comes back cold and returns to
    /// service.
    Zone,
    /// All servers of the service restart at once.
    Cold,
    /// A query that crashes each server it reaches is sent repeatedly.
    Crash,
    /// All open connections of the service stop responding, twice.
    Silent,
    /// The platform's store is down.
    StoreDown,
    /// A script restarts the hosts one by one.
    Rolling,
}

/// No scenario has this name.
#[derive(Debug, Snafu)]
#[snafu(display(
    "scenario {name:?} is unknown; use steady, stragglers, zone, cold, crash, silent, store-down \
     or rolling"
))]
pub struct UnknownScenario {
    name: Box<str>,
}

/// Event during a phase.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A command for the stand-in's control port: target, command and body.
    Control(Box<str>, &'static str, Value),
    /// A line for the script that controls the hosts.
    Announce(&'static str),
    /// A query that crashes each server it reaches is sent.
    Crash,
}

impl Scenario {
    /// All scenarios, in the order in which they run by default.
    pub const ALL: [Scenario; 8] = [
        Scenario::Steady,
        Scenario::Stragglers,
        Scenario::Zone,
        Scenario::Cold,
        Scenario::Crash,
        Scenario::Silent,
        Scenario::StoreDown,
        Scenario::Rolling,
    ];

    /// Name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Scenario::Steady => "steady",
            Scenario::Stragglers => "stragglers",
            Scenario::Zone => "zone",
            Scenario::Cold => "cold",
            Scenario::Crash => "crash",
            Scenario::Silent => "silent",
            Scenario::StoreDown => "store-down",
            Scenario::Rolling => "rolling",
        }
    }

    /// Share of replies that are delayed during the whole phase.
    pub fn slow_share(self) -> f64 {
        if self == Scenario::Stragglers { 0.01 } else { 0.0 }
    }

    /// Events in ascending order of their time, which is a share of the phase from
    /// 0 to 1.
    pub fn events(self, service: &str, zone: &str) -> Vec<(f64, Event)> {
        let service: Box<str> = format!("service:{service}").into();
        let zone: Box<str> = format!("zone:{zone}").into();
        let on = |on: bool| json!({ "on": on });
        let platform =
            |down: bool| Event::Control("platform".into(), "faults", json!({"down": down}));
        match self {
            Scenario::Steady | Scenario::Stragglers => Vec::new(),
            // The zone goes down after the grace period of a planned change, when it
            // should get no more requests.
            Scenario::Zone => vec![
                (0.20, Event::Announce("zone-out")),
                (0.45, Event::Control(zone.clone(), "down", on(true))),
                (0.60, Event::Control(zone.clone(), "restart", json!({}))),
                (0.70, Event::Announce("zone-in")),
            ],
            Scenario::Cold => vec![(0.3, Event::Control(service, "restart", json!({})))],
            Scenario::Crash => (2..=8).map(|i| (f64::from(i) / 10.0, Event::Crash)).collect(),
            Scenario::Silent => vec![
                (0.3, Event::Control(service.clone(), "silence", json!({}))),
                (0.6, Event::Control(service, "silence", json!({}))),
            ],
            Scenario::StoreDown => vec![(0.2, platform(true)), (0.8, platform(false))],
            Scenario::Rolling => vec![(0.1, Event::Announce("rolling-restart"))],
        }
    }
}

impl FromStr for Scenario {
    type Err = UnknownScenario;

    fn from_str(name: &str) -> Result<Scenario, UnknownScenario> {
        let found = Scenario::ALL.into_iter().find(|s| s.name() == name);
        found.ok_or_else(|| UnknownScenario { name: name.into() })
    }
}

//! Pauses that backend servers ask for, and instances that say that they leave.

mod support;

use std::time::Duration;
use std::time::Instant;

use chervil_route::fleet::BackendEntry;
use chervil_route::obstacle::Obstacle;
use chervil_route::server_pause::DEFAULT_MAX_PAUSE;
use chervil_route::server_pause::ServerPause;

use crate::support::chosen_ids;
use crate::support::criteria;
use crate::support::entry;
use crate::support::fleet;

const WISH: Duration = Duration::from_secs(5);

/// Load pattern: each host has ten requests a second for a server that asks all of them for the
/// same pause. Guards against requests within the pause, and against hosts that all come back
/// at the same moment with all of their load.
#[test]
fn hosts_come_back_after_the_pause_one_by_one_and_slowly() {
    for hosts in [12u32, 138, 295] {
        let now = Instant::now();
        let mut pauses = vec![ServerPause::default(); hosts as usize];
        for (host, pause) in pauses.iter_mut().enumerate() {
            pause.ask(WISH, DEFAULT_MAX_PAUSE, host as f64 / f64::from(hosts), now);
        }
        let (mut early, mut first_tenth) = (0, 0);

        for tick in 0..700u32 {
            let at = now + Duration::from_millis(10) * tick;
            for pause in &mut pauses {
                if pause.may_send(at) {
                    pause.record_sent(at);
                    early += u32::from(at < now + WISH);
                    let is_first_tenth = at < now + WISH + Duration::from_millis(100);
                    first_tenth += u32::from(is_first_tenth);
                }
            }
        }

        assert_eq!(early, 0);
        // A tenth of a second of the whole load is a request of each host.
        assert!(first_tenth * 4 <= hosts, "{first_tenth} of {hosts} hosts");
    }
}

/// Guards against a second, shorter wish that ends the first one early.
#[test]
fn longer_pause_stays() {
    let now = Instant::now();
    let mut pause = ServerPause::default();

    let first = pause.ask(WISH, DEFAULT_MAX_PAUSE, 0.0, now);
    let second = pause.ask(WISH / 10, DEFAULT_MAX_PAUSE, 0.0, now);

    assert!(first && !second);
    assert_eq!(pause.wait(now), WISH);
}

/// Guards against a server that stays out for hours because it names an absurd time.
#[test]
fn pause_is_bounded() {
    let now = Instant::now();
    let mut pause = ServerPause::default();

    pause.ask(Duration::from_secs(86_400), DEFAULT_MAX_PAUSE, 1.0, now);

    assert!(pause.wait(now) <= Duration::from_secs(72));
}

/// Guards against a mark that is lost because another source calls the server ready, or because
/// its entry goes and comes back; and against one that keeps a new instance out.
#[test]
fn leaving_mark_belongs_to_the_instance() {
    let now = Instant::now();
    let instance = BackendEntry { started_at_ms: Some(7), ..entry("a", "north") };
    let mut fleet = fleet(&[instance.clone(), entry("b", "south")], now);
    fleet.mark_leaving("a", Some(7), now);
    let is_leaving = |fleet: &chervil_route::fleet::Fleet| {
        fleet.obstacle(fleet.key("a").unwrap(), now) == Some(Obstacle::Leaving)
    };

    fleet.upsert(BackendEntry { slots: 9, ..instance.clone() }, now);
    let after_update = is_leaving(&fleet);
    fleet.remove("a");
    fleet.upsert(instance.clone(), now);
    let after_return = is_leaving(&fleet);
    let chosen = chosen_ids(&fleet, &criteria(&[]), 20, now);
    fleet.upsert(BackendEntry { started_at_ms: Some(8), ..instance }, now);

    assert!(after_update && after_return);
    assert!(chosen.iter().all(|id| &**id == "b"), "{chosen:?}");
    assert!(!is_leaving(&fleet));
}

/// Guards against a mark of an earlier instance that reaches a host late.
#[test]
fn mark_of_another_instance_changes_nothing() {
    let now = Instant::now();
    let instance = BackendEntry { started_at_ms: Some(8), ..entry("a", "north") };
    let mut fleet = fleet(&[instance], now);

    let marked = fleet.mark_leaving("a", Some(7), now);

    assert_eq!(marked, None);
    assert!(fleet.is_eligible(fleet.key("a").unwrap()));
}

//! A process that was paused for seconds, on waking.

mod support;

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use chervil_base::clock::Clock;
use chervil_front::attempt::RequestSpec;
use chervil_front::core::Core;
use chervil_front::logs::LogLimiter;
use chervil_front::metrics::Metrics;
use chervil_front::outgoing::Outgoing;
use chervil_front::single;
use chervil_front::single::SingleOutcome;
use chervil_front::state::State;
use chervil_route::config::Target;
use chervil_route::peers::PeerTable;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use tokio::time;

use crate::support::BOUNDS;
use crate::support::Backend;
use crate::support::Step;
use crate::support::config;
use crate::support::entry;
use crate::support::location;
use crate::support::names;
use crate::support::reply;
use crate::support::route;

/// The system's clock, to which pauses can be added.
#[derive(Default)]
struct PausableClock {
    paused: Mutex<Duration>,
    /// Pauses in which the monotonic clock stood still, as in a suspended machine.
    suspended: Mutex<Duration>,
    start: Mutex<Option<Instant>>,
}

impl PausableClock {
    fn elapsed(&self) -> Duration {
        self.start.lock().unwrap().get_or_insert_with(Instant::now).elapsed()
    }
}

impl Clock for PausableClock {
    fn now(&self) -> Instant {
        Instant::now() + *self.paused.lock().unwrap()
    }

    fn boot_time(&self) -> Duration {
        self.elapsed() + *self.paused.lock().unwrap() + *self.suspended.lock().unwrap()
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::now()
    }
}

fn paused_core(backend: &Backend) -> (Arc<Core>, Arc<PausableClock>) {
    let clock = Arc::new(PausableClock::default());
    let peers = PeerTable::new("own".into(), 10);
    let state = State::new(location(), BOUNDS, 12, peers, SmallRng::seed_from_u64(1));
    let (limiter, metrics) = (LogLimiter::default(), Metrics::default());
    let core = Arc::new(Core::new(names(), limiter, metrics, clock.clone(), state));
    let routes = vec![route("/q/", Target::One("quote".into()), true)];
    core.state().adopt(config(1, routes));
    let now = core.now();
    core.state().fleet.upsert(entry("i-1", "quote", backend.address), now);
    core.state().synced_at = Some(now);
    core.tick();
    (core, clock)
}

fn spec(core: &Core) -> RequestSpec {
    let headers = hyper::HeaderMap::new();
    let outgoing =
        Outgoing::new(&hyper::Method::GET, "/q/1", &headers, bytes::Bytes::new(), &names());
    RequestSpec::new(core, outgoing, 1, Duration::from_secs(2), true)
}

async fn ask(core: &Arc<Core>, spec: RequestSpec) -> SingleOutcome {
    let config = core.state().config.clone().unwrap();
    single::run(core, &config.routes[0], "quote", spec).await.outcome
}

/// Guards against a request to a backend server that was drained while the process was
/// paused: its removal arrives 100 ms after the process has woken up.
#[tokio::test]
async fn nothing_is_sent_after_a_pause_before_fresh_data_arrive() {
    let backend = Backend::start(vec![Step::Reply(reply(200, "ok"))]).await;
    let (core, clock) = paused_core(&backend);
    *clock.paused.lock().unwrap() = Duration::from_secs(30);
    let waking = core.clone();
    tokio::spawn(async move {
        time::sleep(Duration::from_millis(100)).await;
        waking.state().fleet.remove("i-1");
        waking.state().synced_at = Some(waking.now());
    });

    let outcome = ask(&core, spec(&core)).await;

    assert!(matches!(outcome, SingleOutcome::NotRun), "{outcome:?}");
    assert_eq!(backend.received().len(), 0);
}

/// Guards against a host that no longer serves after a pause because the registry and all
/// other hosts are out of reach.
#[tokio::test]
async fn host_serves_on_if_no_fresh_data_arrive_after_a_pause() {
    let backend = Backend::start(vec![Step::Reply(reply(200, "ok"))]).await;
    let (core, clock) = paused_core(&backend);
    *clock.paused.lock().unwrap() = Duration::from_secs(30);

    let outcome = ask(&core, spec(&core)).await;

    assert!(matches!(outcome, SingleOutcome::Answered(_)), "{outcome:?}");
}

/// Guards against a request that is sent past its deadline because the machine was
/// suspended, in which the monotonic clock stands still.
#[tokio::test]
async fn request_whose_deadline_passed_in_suspension_is_not_sent() {
    let backend = Backend::start(vec![Step::Reply(reply(200, "ok"))]).await;
    let (core, clock) = paused_core(&backend);
    let spec = spec(&core);
    *clock.suspended.lock().unwrap() = Duration::from_secs(8);
    core.state().synced_at = Some(core.now() + Duration::from_secs(1));

    let outcome = ask(&core, spec).await;

    assert!(matches!(outcome, SingleOutcome::NotRun), "{outcome:?}");
    assert_eq!(backend.received().len(), 0);
}

//! Short runs of the baseline against a stand-in in the same process.

#![allow(clippy::unwrap_used)]

use chervil_bench::report::PhaseReport;
use chervil_bench::run;
use chervil_bench::run::Policies;
use chervil_bench::scenario::Scenario;
use chervil_bench::settings::BenchSettings;
use chervil_standin::cluster::Standin;
use chervil_standin::settings::Settings;

async fn start() -> Standin {
    let settings: Settings = toml::from_str(
        r#"
        control = "127.0.0.1:0"
        [[service]]
        name = "lookup"
        servers = 3
        shards = 3
        slots = 16
        connections = 200
        faults = { restart_ms = 50 }
        "#,
    )
    .unwrap();
    Standin::start(&settings).await.unwrap()
}

async fn measure(scenario: Scenario) -> PhaseReport {
    let standin = start().await;
    let settings: BenchSettings = toml::from_str(&format!(
        r#"
        entries = ["127.0.0.1:1"]
        control = "{}"
        service = "lookup"
        rate = 100.0
        duration_s = 1.0
        pause_s = 0.0
        "#,
        standin.control
    ))
    .unwrap();
    let report = run::run(&settings, &[scenario], Policies::Naive, None).await.unwrap();
    report.phases.into_iter().next().unwrap()
}

// Guards against a load generator that loses queries or miscounts sub-requests.
#[tokio::test]
async fn steady_baseline_is_complete_without_extra_load() {
    let report = measure(Scenario::Steady).await;

    assert!(report.callers.queries > 50, "{}", report.callers.queries);
    assert_eq!(report.callers.complete, 1.0);
    assert_eq!(report.callers.inaccurate, 0);
    assert_eq!(report.effort.asks, report.callers.needed);
}

// Guards against a crash scenario without effect, for example because the
// stand-in does not recognise the crash marker.
#[tokio::test]
async fn marked_request_crashes_servers_of_the_baseline() {
    let report = measure(Scenario::Crash).await;

    assert!(report.effort.crashes > 2, "{}", report.effort.crashes);
    assert!(report.callers.complete < 1.0);
}

//! Short soak runs against real chervillink processes.

use std::path::PathBuf;
use std::time::Duration;

use chervil_soak::run;
use chervil_soak::run::Options;

/// One run of the soak.
struct Case {
    seed: u64,
    /// Seconds during which new faults are injected.
    seconds: u64,
    hosts: usize,
    /// See `Options::later_faults`.
    later_faults: bool,
    /// See `Options::stops_in_series`.
    stops_in_series: bool,
}

/// Regular runs, the third with relays, and each run that once failed, with its cause.
const CASES: [Case; 7] = [
    Case { seed: 1, seconds: 5, hosts: 3, later_faults: false, stops_in_series: false },
    Case { seed: 2, seconds: 5, hosts: 3, later_faults: false, stops_in_series: false },
    Case { seed: 3, seconds: 5, hosts: 13, later_faults: false, stops_in_series: false },
    Case { seed: 4, seconds: 8, hosts: 3, later_faults: true, stops_in_series: false },
    // After three lost answers to requests with the same path and body, further
    // such requests were refused for two minutes.
    Case { seed: 53, seconds: 12, hosts: 4, later_faults: false, stops_in_series: false },
    // After a kill of all hosts, one took up the empty state of another that had named too
    // low a revision, and served nothing from then on.
    Case { seed: 633, seconds: 12, hosts: 4, later_faults: false, stops_in_series: false },
    // Hosts that were stopped in series read requests after their drain, and cut them off when
    // they ended.
    Case { seed: 12, seconds: 12, hosts: 4, later_faults: true, stops_in_series: true },
];

/// Guards against answers that belong to another request, quotes that run twice,
/// requests that run although they were refused as not executed, bounds on
/// planned changes that are exceeded, requests that are cut off by planned stops, and service that
/// does not recover, while links, hosts, backend servers and the store fail.
#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_under_faults() {
    let binary = binary();
    for Case { seed, seconds, hosts, later_faults, stops_in_series } in CASES {
        let dir = std::env::temp_dir().join(format!("chervil-soak-{}-{seed}", std::process::id()));
        let fault_time = Duration::from_secs(seconds);
        let options = Options {
            seed,
            fault_time,
            hosts,
            binary: binary.clone(),
            previous: None,
            later_faults,
            stops_in_series,
            dir: dir.clone(),
        };

        let summary = run::run(&options).await.unwrap();

        assert_eq!(
            summary.violations,
            Vec::<String>::new(),
            "seed {seed}, logs in {}",
            dir.display()
        );
        assert!(summary.answered > 0);
        std::fs::remove_dir_all(dir).unwrap();
    }
}

/// Path of the chervillink program, which the workspace's build puts into the
/// same profile directory as this test.
fn binary() -> PathBuf {
    let mut path = std::env::current_exe().unwrap();
    path.pop();
    path.pop();
    path.push("chervillink");
    assert!(path.exists(), "{} is missing; run `cargo build -p chervillink`", path.display());
    path
}

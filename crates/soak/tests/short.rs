//! A short soak of real processes.

use std::path::PathBuf;
use std::time::Duration;

use chervil_soak::run;
use chervil_soak::run::Options;

/// One run of the soak.
struct Case {
    seed: u64,
    /// Seconds during which faults begin.
    seconds: u64,
    hosts: usize,
}

/// The usual runs, and each one that failed once with its cause.
const CASES: [Case; 3] = [
    Case { seed: 1, seconds: 5, hosts: 3 },
    Case { seed: 2, seconds: 5, hosts: 3 },
    // Requests were refused for two minutes after three lost answers to
    // requests with the same path and body.
    Case { seed: 53, seconds: 12, hosts: 4 },
];

/// Guards against wrong, doubled or untruly refused answers while links,
/// processes, backend servers and the store fail.
#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_under_faults() {
    let binary = binary();
    for Case { seed, seconds, hosts } in CASES {
        let dir = std::env::temp_dir().join(format!("chervil-soak-{}-{seed}", std::process::id()));
        let fault_time = Duration::from_secs(seconds);
        let options = Options { seed, fault_time, hosts, binary: binary.clone(), dir: dir.clone() };

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

/// The program beside the test's own, which the workspace's build puts there.
fn binary() -> PathBuf {
    let mut path = std::env::current_exe().unwrap();
    path.pop();
    path.pop();
    path.push("chervillink");
    assert!(path.exists(), "{} is missing; run `cargo build -p chervillink`", path.display());
    path
}

//! A short soak of real processes.

use std::path::PathBuf;
use std::time::Duration;

use chervil_soak::run;
use chervil_soak::run::Options;

/// Seeds that failed once, with their cause, and the usual ones.
const SEEDS: [u64; 2] = [1, 2];

/// Time during which faults begin.
const TIME: Duration = Duration::from_secs(5);

/// Guards against wrong, doubled or untruly refused answers while links,
/// processes, backend servers and the store fail.
#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_under_faults() {
    let binary = binary();
    for seed in SEEDS {
        let folder =
            std::env::temp_dir().join(format!("chervil-soak-{}-{seed}", std::process::id()));
        let options =
            Options { seed, time: TIME, hosts: 3, binary: binary.clone(), folder: folder.clone() };

        let sums = run::run(&options).await.unwrap();

        assert_eq!(
            sums.violations,
            Vec::<String>::new(),
            "seed {seed}, logs in {}",
            folder.display()
        );
        assert!(sums.answered > 0);
        std::fs::remove_dir_all(folder).unwrap();
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

//! Measures store calls, sizes, times and memory of a configuration with a
//! given number of servers.
//!
//! Memory is measured in a separate process, so that the fake store and the
//! editor do not count:
//!
//! ```text
//! for n in 2000 5000 10000 20000; do
//!     cargo run -q -p chervil-config --example sizes -- write $n target/sizes.json
//!     cargo run -q -p chervil-config --example sizes -- load target/sizes.json
//! done
//! ```

use std::env;
use std::error::Error;
use std::fmt::Write as _;
use std::fs;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use chervil_base::catalog::Catalog;
use chervil_base::clock::ManualClock;
use chervil_config::Change;
use chervil_config::ChangeResult;
use chervil_config::ConfigReplica;
use chervil_config::Editor;
use chervil_config::EditorSettings;
use chervil_config::HEAD_KEY;
use chervil_config::RECORD_PREFIX;
use chervil_config::Target;
use chervil_config::read_delta;
use chervil_fakes::FakeStore;
use chervil_rpc::agent::StateDelta;
use chervil_sheet::sheet::Sheet;

const SERVICES: usize = 34;
const ZONES: usize = 5;

/// Time of all changes: 2026-12-04T07:00:00Z, in seconds since 1970.
const NOW_SECS: u64 = 1_796_367_600;

type BoxError = Box<dyn Error>;

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), BoxError> {
    let args: Vec<String> = env::args().skip(1).collect();
    match args.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["write", servers, file] => write(servers.parse()?, file).await,
        ["load", file] => load(file),
        _ => Err("usage: sizes write SERVERS FILE | sizes load FILE".into()),
    }
}

/// Applies two sheets and two overrides, prints sizes and store calls, and
/// writes the resulting state to `file`.
async fn write(servers: usize, file: &str) -> Result<(), BoxError> {
    let store = FakeStore::new();
    let text = sheet_text(servers, 6);
    let started = Instant::now();
    let sheet = Sheet::parse("sheet.csv", text.as_bytes())?;
    println!("{servers} servers, sheet of {} bytes, parsed in {:?}", text.len(), started.elapsed());
    let mut changed = sheet.clone();
    changed.catalog.servers[servers / 2].slots += 1;
    let server = Target::Server("s7-1".into());
    change(&store, "first sheet", Change::ApplySheet { sheet, confirmed_removals: None }).await?;
    let before = pull(&store, ConfigReplica::new()).await?;
    change(
        &store,
        "one server changed",
        Change::ApplySheet { sheet: changed, confirmed_removals: None },
    )
    .await?;
    let reads = store.reads();
    let host = pull(&store, before.clone()).await?;
    println!("  host: {} reads for the change", store.reads() - reads);
    change(&store, "zone out", Change::SetOverride(Target::Zone("z1".into()))).await?;
    change(&store, "drain", Change::SetOverride(server)).await?;
    print_sizes(&store, &host.delta_since(before.revision()))?;
    fs::write(file, serde_json::to_string(&host.delta_since(0))?)?;
    Ok(())
}

fn print_sizes(store: &FakeStore, delta: &StateDelta) -> Result<(), BoxError> {
    let values = store.dump();
    let head = values.iter().find(|v| &*v.key == HEAD_KEY).map_or(0, |v| v.value.len());
    let records = values.iter().filter(|v| v.key.starts_with(RECORD_PREFIX));
    let sizes: Vec<usize> = records.map(|v| v.value.len()).collect();
    let sum: usize = sizes.iter().sum();
    let mean = sum / sizes.len().max(1);
    let largest = sizes.iter().max().copied().unwrap_or(0);
    let delta = serde_json::to_string(delta)?.len();
    println!("  head {head} bytes; {} records, mean {mean}, largest {largest}", sizes.len());
    println!("  delta of one changed server {delta} bytes; full state {sum} bytes");
    Ok(())
}

/// Prints the time and memory that a host needs to apply the state in `file`.
fn load(file: &str) -> Result<(), BoxError> {
    let state: StateDelta = serde_json::from_str(&fs::read_to_string(file)?)?;
    let baseline_kb = resident_kb()?;
    let started = Instant::now();
    let mut host = ConfigReplica::new();
    host.apply(&state)?;
    let apply_time = started.elapsed();
    let with_replica_kb = resident_kb()?;
    let started = Instant::now();
    let spec = host.effective_catalog();
    let spec_time = started.elapsed();
    let started = Instant::now();
    let catalog = Catalog::new(&spec);
    let build_time = started.elapsed();
    let with_catalog_kb = resident_kb()?;
    println!(
        "  apply {apply_time:?}, {} KB; spec {spec_time:?}; catalog {build_time:?}, {} KB more for \
         both ({} servers, {} groups)",
        with_replica_kb.saturating_sub(baseline_kb),
        with_catalog_kb.saturating_sub(with_replica_kb),
        catalog.servers.len(),
        catalog.groups.len()
    );
    Ok(())
}

async fn change(store: &FakeStore, label: &str, change: Change) -> Result<(), BoxError> {
    let clock = ManualClock::new(SystemTime::UNIX_EPOCH + Duration::from_secs(NOW_SECS));
    let editor = Editor::new(store, &clock, "operator", EditorSettings::default());
    let (reads, writes) = (store.reads(), store.writes());
    let started = Instant::now();
    let result = editor.change(&change, label).await;
    let took = started.elapsed();
    let (reads, writes) = (store.reads() - reads, store.writes() - writes);
    println!("  {label}: {reads} reads, {writes} writes, {took:?} without the store");
    match result {
        ChangeResult::Accepted(_) => Ok(()),
        other => Err(other.to_string().into()),
    }
}

async fn pull(store: &FakeStore, mut host: ConfigReplica) -> Result<ConfigReplica, BoxError> {
    host.apply(&read_delta(store, &host).await?)?;
    Ok(host)
}

fn sheet_text(servers: usize, hour: usize) -> String {
    let mut text =
        String::from("kind,name,service,zone,address,slots,connections,connect_ms,shards,state\n");
    // Writing to a string cannot fail.
    let _ = writeln!(text, "sheet,2026-12-04T{hour:02}:00:00Z,,,,,,,,");
    for z in 1..=ZONES {
        let _ = writeln!(text, "zone,z{z},,,,,,,,in");
    }
    let per_service = servers / SERVICES;
    for s in 0..SERVICES {
        let _ = writeln!(text, "service,service-{s},,,,,,,{per_service},in");
    }
    for i in 0..servers {
        let (service, index) = (i % SERVICES, i / SERVICES);
        let (a, b) = (index % per_service, (index + 1) % per_service);
        let zone = index % ZONES + 1;
        let (high, low) = (i / 250, i % 250 + 1);
        let _ = writeln!(
            text,
            "server,s{service}-{index},service-{service},z{zone},10.0.{high}.{low}:9000,12,190,6,\
             {a};{b},in"
        );
    }
    text
}

/// Resident memory of this process, in kilobytes.
fn resident_kb() -> Result<u64, BoxError> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    Ok(line.and_then(|l| l.split_whitespace().next()).unwrap_or("0").parse()?)
}

//! Agreement of hosts on backend servers in trouble.

use std::time::Duration;
use std::time::Instant;

use chervil_route::degradation::DegradationDetector;

fn told(trouble: &mut DegradationDetector, start: Instant, times: &[u64]) -> usize {
    let reported = times.iter().map(|ms| start + Duration::from_millis(*ms));
    reported.filter(|at| trouble.report("a", *at)).count()
}

/// Guards against hosts that avoid a backend server for a pause of a quarter of
/// a second.
#[test]
fn pause_is_no_trouble() {
    let mut trouble = DegradationDetector::default();
    let pauses: Vec<u64> = (0..5).flat_map(|i| (0..25).map(move |t| i * 3_000 + t * 10)).collect();

    assert_eq!(told(&mut trouble, Instant::now(), &pauses), 0);
}

/// Guards against hosts that each have to find out for themselves that a
/// backend server is slow.
#[test]
fn lasting_reports_are_told_within_a_second_and_then_repeated() {
    let (mut trouble, start) = (DegradationDetector::default(), Instant::now());
    let lasting = |from: u64, to: u64| (from..to).step_by(50).collect::<Vec<_>>();

    assert_eq!(told(&mut trouble, start, &lasting(0, 1_000)), 1);
    assert_eq!(told(&mut trouble, start, &lasting(1_000, 4_000)), 3);
}

/// Guards against old reports that count for ever.
#[test]
fn scattered_reports_are_no_trouble() {
    let mut trouble = DegradationDetector::default();
    let scattered: Vec<u64> = (0..40).map(|i| i * 700).collect();

    assert_eq!(told(&mut trouble, Instant::now(), &scattered), 0);
}

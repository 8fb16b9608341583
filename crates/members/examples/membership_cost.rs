//! Measures memory and time of the membership state of one host, in a healthy
//! installation and with a fifth of its hosts denied by all others.
//!
//! Usage: `cargo run -p chervil-members --example membership_cost -- 100 1000`
#![allow(clippy::unwrap_used, reason = "a measurement that fails should end")]

use std::fs;
use std::time::Duration;
use std::time::Instant;

use chervil_members::membership::Membership;
use chervil_rpc::agent::Denial;
use chervil_rpc::agent::Heartbeat;
use chervil_rpc::agent::HeartbeatReply;
use chervil_rpc::agent::MemberHost;
use chervil_rpc::agent::MemberList;
use chervil_rpc::agent::Vote;

/// Copies whose memory is measured together.
const COPIES: usize = 8;

/// Answers of one voter whose time is measured together.
const ANSWERS: usize = 100;

/// Size of a page of memory, in KiB.
const PAGE_KIB: usize = 4;

fn main() {
    println!("hosts  denied  KiB per host  lease us  tick us  heartbeat us  reply ns");
    for size in std::env::args().skip(1).map(|a| a.parse::<usize>().unwrap()) {
        for denied in [0, size / 5] {
            measure(size, denied);
        }
    }
}

fn measure(size: usize, denied: usize) {
    let list = MemberList { epoch: 1, hosts: hosts(size), previous: hosts(size) };
    let start = Instant::now();
    let now = start + Duration::from_secs(10);
    let before = resident_kib();
    let mut copies: Vec<Membership> =
        (0..COPIES).map(|_| membership(&list, denied, start, now)).collect();
    let memory = (resident_kib().saturating_sub(before)) / COPIES;
    let copy = &mut copies[0];
    let lease = time(|| assert!(copy.lease(now).remaining_ms > 0));
    let tick = time(|| copy.tick(now));
    let beat = heartbeat(&list.hosts[1]);
    let heard = time(|| drop(copy.on_heartbeat(&beat, now)));
    let reply = reply(&list, denied);
    let mut sent = now;
    let answers = time(|| sent = answer(copy, &reply, sent)) * 1_000 / ANSWERS as u128;
    // Freed memory would hide the growth of the next size.
    std::mem::forget(copies);
    println!("{size:5}  {denied:6}  {memory:12}  {lease:8}  {tick:7}  {heard:12}  {answers:8}");
}

fn membership(list: &MemberList, denied: usize, start: Instant, now: Instant) -> Membership {
    let mut membership = Membership::new(&list.hosts[0].host, 1, start);
    membership.adopt(list, start);
    membership.set_learned();
    let mut reply = reply(list, denied);
    for host in &list.hosts[1..list.hosts.len() - denied] {
        reply.state = heartbeat(host);
        membership.on_reply(now, &reply, now);
    }
    membership
}

/// Answer of one of the live hosts.
fn reply(list: &MemberList, denied: usize) -> HeartbeatReply {
    let dead = &list.hosts[list.hosts.len() - denied..];
    let denial = |h: &MemberHost| Denial { host: h.host.clone(), age_ms: 5_000 };
    let denials = dead.iter().map(denial).collect();
    HeartbeatReply { vote: Vote::Up, state: heartbeat(&list.hosts[1]), denials }
}

/// Takes note of answers to heartbeats sent after `sent`; returns the send time
/// of the last.
fn answer(membership: &mut Membership, reply: &HeartbeatReply, mut sent: Instant) -> Instant {
    for _ in 0..ANSWERS {
        sent += Duration::from_micros(1);
        membership.on_reply(sent, reply, sent);
    }
    sent
}

fn hosts(size: usize) -> Vec<MemberHost> {
    let host = |i: usize| MemberHost {
        host: format!("host-{i:04}").into(),
        zone: format!("z{}", i % 5).into(),
        agent: ([10, 0, (i >> 8) as u8, i as u8], 7001).into(),
        gate: ([10, 0, (i >> 8) as u8, i as u8], 7002).into(),
    };
    (0..size).map(host).collect()
}

fn heartbeat(host: &MemberHost) -> Heartbeat {
    Heartbeat {
        host: host.host.clone(),
        incarnation: 7,
        epoch: 1,
        revision: 1,
        staleness_ms: Some(100),
        leaving: false,
        released: false,
        serving: true,
        join: None,
    }
}

/// Median time of a call, in microseconds.
fn time<F>(mut call: F) -> u128
where
    F: FnMut(),
{
    let mut times: Vec<u128> = Vec::new();
    for _ in 0..9 {
        let start = Instant::now();
        call();
        times.push(start.elapsed().as_micros());
    }
    times.sort_unstable();
    times[times.len() / 2]
}

fn resident_kib() -> usize {
    let statm = fs::read_to_string("/proc/self/statm").unwrap();
    statm.split_whitespace().nth(1).unwrap().parse::<usize>().unwrap() * PAGE_KIB
}

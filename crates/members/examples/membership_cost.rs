//! Measures the memory and CPU time of the membership state of one host, in a
//! healthy installation and with a fifth of the hosts denied by all others.
//!
//! Usage: `cargo run -p chervil-members --example membership_cost -- 100 1000`
#![allow(clippy::unwrap_used, reason = "a failed measurement should panic")]

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

/// Memberships over which the measured memory is averaged.
const COPIES: usize = 8;

/// Replies over which the measured time is averaged.
const REPLIES: usize = 100;

/// Size of a memory page, in KiB.
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
    let memory_kib = (resident_kib().saturating_sub(before)) / COPIES;
    let copy = &mut copies[0];
    let lease_us = median_us(|| assert!(copy.lease(now).remaining_ms > 0));
    let tick_us = median_us(|| copy.tick(now));
    let request = heartbeat(&list.hosts[1]);
    let heartbeat_us = median_us(|| drop(copy.on_heartbeat(&request, now)));
    let reply = reply(&list, denied);
    let mut sent = now;
    let reply_ns =
        median_us(|| sent = record_replies(copy, &reply, sent)) * 1_000 / REPLIES as u128;
    // Freed memory would be reused and hide the growth of the next size.
    std::mem::forget(copies);
    print!("{size:5}  {denied:6}  {memory_kib:12}  {lease_us:8}  {tick_us:7}  ");
    println!("{heartbeat_us:12}  {reply_ns:8}");
}

fn membership(list: &MemberList, denied: usize, start: Instant, now: Instant) -> Membership {
    let mut membership = Membership::new(&list.hosts[0].host, 1, start);
    membership.adopt(list, start);
    membership.confirm_list();
    let mut reply = reply(list, denied);
    for host in &list.hosts[1..list.hosts.len() - denied] {
        reply.state = heartbeat(host);
        membership.on_reply(now, &reply, now);
    }
    membership
}

/// Reply of one of the live hosts, which denies the last `denied` hosts.
fn reply(list: &MemberList, denied: usize) -> HeartbeatReply {
    let dead = &list.hosts[list.hosts.len() - denied..];
    let denial = |h: &MemberHost| Denial { host: h.host.clone(), age_ms: 5_000 };
    let denials = dead.iter().map(denial).collect();
    HeartbeatReply { vote: Vote::Up, state: heartbeat(&list.hosts[1]), denials }
}

/// Records [`REPLIES`] replies to heartbeats sent after `sent`; returns the send
/// time of the last one.
fn record_replies(
    membership: &mut Membership,
    reply: &HeartbeatReply,
    mut sent: Instant,
) -> Instant {
    for _ in 0..REPLIES {
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

/// Median duration of nine calls, in microseconds.
fn median_us<F>(mut call: F) -> u128
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

/// Resident memory of this process.
fn resident_kib() -> usize {
    let statm = fs::read_to_string("/proc/self/statm").unwrap();
    statm.split_whitespace().nth(1).unwrap().parse::<usize>().unwrap() * PAGE_KIB
}

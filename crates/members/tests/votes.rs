//! Rules of a single voter or candidate, one at a time.

use std::time::Duration;
use std::time::Instant;

use chervil_members::DOWN_AFTER;
use chervil_members::QUORUM_LEASE;
use chervil_members::membership::Membership;
use chervil_rpc::agent::Denial;
use chervil_rpc::agent::Heartbeat;
use chervil_rpc::agent::HeartbeatReply;
use chervil_rpc::agent::MemberList;
use chervil_rpc::agent::Vote;

mod common;

use common::member;

const STEP: Duration = Duration::from_millis(250);

fn list(epoch: u64, hosts: &[usize]) -> MemberList {
    let hosts = hosts.iter().map(|h| member(*h)).collect();
    MemberList { epoch, hosts, previous: Vec::new() }
}

fn heartbeat(host: usize, incarnation: u64, epoch: u64) -> Heartbeat {
    Heartbeat {
        host: member(host).host,
        incarnation,
        epoch,
        revision: 0,
        staleness_ms: None,
        leaving: false,
        released: false,
        serving: true,
        join: None,
    }
}

fn released(host: usize, incarnation: u64, epoch: u64) -> Heartbeat {
    Heartbeat { released: true, serving: false, ..heartbeat(host, incarnation, epoch) }
}

fn answer(vote: Vote, state: Heartbeat, denied: &[(usize, u64)]) -> HeartbeatReply {
    let denial =
        |(host, age_ms): &(usize, u64)| Denial { host: member(*host).host, age_ms: *age_ms };
    HeartbeatReply { vote, state, denials: denied.iter().map(denial).collect() }
}

/// Host 0 of hosts 0, 1 and 2, past its abstention.
fn voter(epoch: u64) -> (Membership, Instant) {
    let start = Instant::now();
    let mut voter = Membership::new("h0", 100, start);
    voter.adopt(&list(epoch, &[0, 1, 2]), start);
    voter.set_learned();
    let now = start + QUORUM_LEASE;
    voter.tick(now - STEP);
    voter.tick(now);
    (voter, now)
}

fn vote(voter: &mut Membership, heartbeat: &Heartbeat, now: Instant) -> Vote {
    voter.on_heartbeat(heartbeat, now).vote
}

/// Denials that the voter reports to host 2.
fn reported(voter: &mut Membership, now: Instant) -> Vec<Denial> {
    voter.on_heartbeat(&heartbeat(2, 300, 1), now).denials
}

/// Lets time pass in which the voter hears host 2 only.
fn pass(voter: &mut Membership, mut now: Instant, time: Duration) -> Instant {
    let end = now + time;
    while now < end {
        now = (now + STEP).min(end);
        voter.on_heartbeat(&heartbeat(2, 300, 1), now);
        voter.tick(now);
    }
    now
}

/// Guards against a voter that breaks a denial which its former process
/// reported shortly before a restart.
#[test]
fn a_started_voter_abstains_for_the_lease_time() {
    let start = Instant::now();
    let mut voter = Membership::new("h0", 100, start);
    voter.adopt(&list(1, &[0, 1, 2]), start);
    voter.set_learned();
    let last = start + QUORUM_LEASE - Duration::from_millis(1);

    assert_eq!(vote(&mut voter, &heartbeat(1, 200, 1), last), Vote::Abstain);
    assert_eq!(reported(&mut voter, last), []);
    assert_eq!(voter.lease(last).remaining_ms, 0);
    assert_eq!(vote(&mut voter, &heartbeat(1, 200, 1), start + QUORUM_LEASE), Vote::Up);
}

/// Guards against support for a host whose list was replaced, on which the
/// settling of the next list rests.
#[test]
fn a_sender_of_an_older_epoch_gets_no_support_and_is_not_denied() {
    let (mut voter, now) = voter(2);

    assert_eq!(vote(&mut voter, &heartbeat(1, 200, 1), now), Vote::Abstain);
    assert_eq!(vote(&mut voter, &heartbeat(1, 200, 2), now), Vote::Up);
    assert_eq!(vote(&mut voter, &heartbeat(1, 200, 3), now), Vote::Up);
}

/// Guards against support within the lease time of a reported denial.
#[test]
fn a_denied_host_is_supported_only_after_the_lease_time() {
    let (mut voter, now) = voter(1);
    let now = pass(&mut voter, now, DOWN_AFTER);
    assert_eq!(reported(&mut voter, now).len(), 1);

    let early = now + QUORUM_LEASE - Duration::from_millis(1);
    assert_eq!(vote(&mut voter, &heartbeat(1, 200, 1), now), Vote::Abstain);
    assert_eq!(reported(&mut voter, now), []);
    assert_eq!(vote(&mut voter, &heartbeat(1, 200, 1), early), Vote::Abstain);
    assert_eq!(vote(&mut voter, &heartbeat(1, 200, 1), now + QUORUM_LEASE), Vote::Up);
}

/// Guards against a voter that supports a host whose denial its own lease
/// rests on.
#[test]
fn a_denial_that_the_own_lease_uses_binds_the_voter() {
    let (mut voter, now) = voter(1);
    let now = pass(&mut voter, now, DOWN_AFTER + QUORUM_LEASE);
    let support = answer(Vote::Up, heartbeat(2, 300, 1), &[(1, 1_200)]);
    voter.on_reply(now, &support, now);
    let used = now + Duration::from_millis(200);

    assert_eq!(voter.lease(used).down, [member(1).host]);
    vote(&mut voter, &heartbeat(1, 200, 1), used);
    let early = used + QUORUM_LEASE - Duration::from_millis(1);
    assert_eq!(vote(&mut voter, &heartbeat(1, 200, 1), early), Vote::Abstain);
}

/// Guards against a delayed release of a former process that takes the rights
/// of the live one.
#[test]
fn a_release_counts_only_for_the_supported_process() {
    let (mut voter, now) = voter(1);
    assert_eq!(vote(&mut voter, &heartbeat(1, 200, 1), now), Vote::Up);

    vote(&mut voter, &released(1, 199, 1), now);
    assert_eq!(reported(&mut voter, now), []);
    assert_eq!(vote(&mut voter, &heartbeat(1, 199, 1), now), Vote::Abstain);

    vote(&mut voter, &released(1, 200, 1), now);
    assert_eq!(reported(&mut voter, now), [Denial { host: member(1).host, age_ms: 1_200 }]);
}

/// Guards against a renewed right that rests on support for the released one.
#[test]
fn a_renewed_right_needs_new_support() {
    let (mut host, now) = voter(1);
    let support = |incarnation| answer(Vote::Up, heartbeat(incarnation, 200, 1), &[]);
    host.on_reply(now, &support(1), now);
    assert!(host.holds_lease(now));
    host.release();
    assert!(!host.holds_lease(now));

    host.renew(101, now + STEP);

    assert!(!host.holds_lease(now + STEP));
    host.on_reply(now + STEP, &support(1), now + 2 * STEP);
    assert!(!host.holds_lease(now + 2 * STEP), "the heartbeat was sent before the renewal");
    host.on_reply(now + 2 * STEP, &support(1), now + 2 * STEP);
    assert!(host.holds_lease(now + 2 * STEP));
}

/// Guards against a restarted voter that votes on a list older than one that
/// its former process acknowledged.
#[test]
fn a_voter_without_the_store_asks_so_many_peers_that_no_majority_lacks_one() {
    let start = Instant::now();
    let mut voter = Membership::new("h0", 100, start);
    voter.adopt(&list(4, &[0, 1, 2]), start);
    let now = start + QUORUM_LEASE;
    let known = |host, epoch| answer(Vote::Abstain, heartbeat(host, 200, epoch), &[]);

    voter.on_reply(now, &known(1, 4), now);
    voter.on_reply(now, &known(2, 0), now);
    assert_eq!(voter.epoch(), 0, "host 2 does not rely on its own list");
    voter.on_reply(now + STEP, &known(2, 5), now + STEP);
    assert_eq!(voter.epoch(), 0, "host 2 knows a later list");
    assert_eq!(vote(&mut voter, &heartbeat(1, 200, 4), now + STEP), Vote::Abstain);

    voter.on_reply(now + 2 * STEP, &known(2, 4), now + 2 * STEP);
    assert_eq!(voter.epoch(), 4);
    assert_eq!(vote(&mut voter, &heartbeat(1, 200, 4), now + 2 * STEP), Vote::Up);
}

/// Guards against an epoch that settles on the answer of a voter that has
/// restarted since and may have learned an older list.
#[test]
fn an_epoch_settles_only_on_voters_that_still_answer() {
    let (mut host, now) = voter(1);
    host.adopt(&list(2, &[0, 1, 2]), now);
    let holds = answer(Vote::Abstain, heartbeat(1, 200, 2), &[]);

    host.on_reply(now, &holds, now);
    assert!(!host.is_settled(now + QUORUM_LEASE));
    host.on_reply(now + STEP, &holds, now + STEP);
    assert!(!host.is_settled(now + QUORUM_LEASE - Duration::from_millis(1)));
    assert!(host.is_settled(now + QUORUM_LEASE));
}

/// Guards against a lease counted from the arrival of an answer, and against a
/// denial counted from the send time of its question.
#[test]
fn times_are_bounded_on_the_safe_side() {
    let (mut host, now) = voter(1);
    let sent = pass(&mut host, now, DOWN_AFTER + QUORUM_LEASE);
    let arrived = sent + Duration::from_millis(400);
    let reply = answer(Vote::Up, heartbeat(2, 300, 1), &[(1, 1_000)]);
    host.on_reply(sent, &reply, arrived);

    // The denial may be 199 ms short of its age, or just have reached it.
    assert!(host.lease(arrived + Duration::from_millis(199)).down.is_empty());
    assert_eq!(host.lease(arrived + Duration::from_millis(200)).down, [member(1).host]);
    // The candidate counts 10 ms less than the voter, for clocks that differ.
    assert!(host.holds_lease(sent + QUORUM_LEASE - Duration::from_millis(11)));
    assert!(!host.holds_lease(sent + QUORUM_LEASE - Duration::from_millis(10)));
}

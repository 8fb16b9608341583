//! Rules that one voter or candidate follows.

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

fn reply(vote: Vote, state: Heartbeat, denied: &[(usize, u64)]) -> HeartbeatReply {
    let denial =
        |(host, age_ms): &(usize, u64)| Denial { host: member(*host).host, age_ms: *age_ms };
    HeartbeatReply { vote, state, denials: denied.iter().map(denial).collect() }
}

/// Host 0 of hosts 0, 1 and 2, at the time from which it votes.
fn voter(epoch: u64) -> (Membership, Instant) {
    let start = Instant::now();
    let mut voter = Membership::new("h0", 100, start);
    voter.adopt(&list(epoch, &[0, 1, 2]), start);
    voter.confirm_list();
    let now = start + QUORUM_LEASE;
    voter.tick(now - STEP);
    voter.tick(now);
    (voter, now)
}

fn vote(voter: &mut Membership, heartbeat: &Heartbeat, now: Instant) -> Vote {
    voter.on_heartbeat(heartbeat, now).vote
}

/// Denials that the voter reports to host 2.
fn reported_denials(voter: &mut Membership, now: Instant) -> Vec<Denial> {
    voter.on_heartbeat(&heartbeat(2, 300, 1), now).denials
}

/// Advances time, during which the voter gets heartbeats of host 2 only.
fn advance(voter: &mut Membership, mut now: Instant, time: Duration) -> Instant {
    let end = now + time;
    while now < end {
        now = (now + STEP).min(end);
        voter.on_heartbeat(&heartbeat(2, 300, 1), now);
        voter.tick(now);
    }
    now
}

/// Guards against a restarted voter that supports a host although its former
/// process reported a denial shortly before the restart, which still binds it.
#[test]
fn a_started_voter_abstains_for_the_lease_time() {
    let start = Instant::now();
    let mut voter = Membership::new("h0", 100, start);
    voter.adopt(&list(1, &[0, 1, 2]), start);
    voter.confirm_list();
    let last = start + QUORUM_LEASE - Duration::from_millis(1);

    assert_eq!(vote(&mut voter, &heartbeat(1, 200, 1), last), Vote::Abstain);
    assert_eq!(reported_denials(&mut voter, last), []);
    assert_eq!(voter.lease(last).remaining_ms, 0);
    assert_eq!(vote(&mut voter, &heartbeat(1, 200, 1), start + QUORUM_LEASE), Vote::Up);
}

/// Guards against support for a host that still uses a replaced list: the next
/// list settles on the condition that such a host gets no lease.
#[test]
fn a_sender_of_an_older_epoch_gets_no_support_and_is_not_denied() {
    let (mut voter, now) = voter(2);

    assert_eq!(vote(&mut voter, &heartbeat(1, 200, 1), now), Vote::Abstain);
    assert_eq!(vote(&mut voter, &heartbeat(1, 200, 2), now), Vote::Up);
    assert_eq!(vote(&mut voter, &heartbeat(1, 200, 3), now), Vote::Up);
}

/// Guards against a voter that supports a returning host while a denial that it
/// reported still binds it.
#[test]
fn a_denied_host_is_supported_only_after_the_lease_time() {
    let (mut voter, now) = voter(1);
    let now = advance(&mut voter, now, DOWN_AFTER);
    assert_eq!(reported_denials(&mut voter, now).len(), 1);

    let early = now + QUORUM_LEASE - Duration::from_millis(1);
    assert_eq!(vote(&mut voter, &heartbeat(1, 200, 1), now), Vote::Abstain);
    assert_eq!(reported_denials(&mut voter, now), []);
    assert_eq!(vote(&mut voter, &heartbeat(1, 200, 1), early), Vote::Abstain);
    assert_eq!(vote(&mut voter, &heartbeat(1, 200, 1), now + QUORUM_LEASE), Vote::Up);
}

/// Guards against a voter that supports a host while its own lease relies on its
/// denial of that host.
#[test]
fn a_denial_used_by_the_local_lease_binds_the_voter() {
    let (mut voter, now) = voter(1);
    let now = advance(&mut voter, now, DOWN_AFTER + QUORUM_LEASE);
    let support = reply(Vote::Up, heartbeat(2, 300, 1), &[(1, 1_200)]);
    voter.on_reply(now, &support, now);
    let used = now + Duration::from_millis(200);

    assert_eq!(voter.lease(used).down, [member(1).host]);
    vote(&mut voter, &heartbeat(1, 200, 1), used);
    let early = used + QUORUM_LEASE - Duration::from_millis(1);
    assert_eq!(vote(&mut voter, &heartbeat(1, 200, 1), early), Vote::Abstain);
}

/// Guards against a delayed release message of a former process that ends the
/// lease of the live process.
#[test]
fn a_release_counts_only_for_the_supported_process() {
    let (mut voter, now) = voter(1);
    assert_eq!(vote(&mut voter, &heartbeat(1, 200, 1), now), Vote::Up);

    vote(&mut voter, &released(1, 199, 1), now);
    assert_eq!(reported_denials(&mut voter, now), []);
    assert_eq!(vote(&mut voter, &heartbeat(1, 199, 1), now), Vote::Abstain);

    vote(&mut voter, &released(1, 200, 1), now);
    assert_eq!(reported_denials(&mut voter, now), [Denial { host: member(1).host, age_ms: 1_200 }]);
}

/// Guards against a lease after a release that relies on votes for the released
/// one.
#[test]
fn a_lease_after_a_release_needs_new_support() {
    let (mut host, now) = voter(1);
    let support = |incarnation| reply(Vote::Up, heartbeat(incarnation, 200, 1), &[]);
    host.on_reply(now, &support(1), now);
    assert!(host.holds_lease(now));
    host.release();
    assert!(!host.holds_lease(now));

    host.reacquire(101, now + STEP);

    assert!(!host.holds_lease(now + STEP));
    host.on_reply(now + STEP, &support(1), now + 2 * STEP);
    assert!(!host.holds_lease(now + 2 * STEP), "the heartbeat was not sent after reacquire()");
    host.on_reply(now + 2 * STEP, &support(1), now + 2 * STEP);
    assert!(host.holds_lease(now + 2 * STEP));
}

/// Guards against a restarted voter that cannot read the store and votes on a
/// list older than one that its former process acknowledged.
#[test]
fn a_voter_without_the_store_confirms_its_list_by_peers_in_every_majority() {
    let start = Instant::now();
    let mut voter = Membership::new("h0", 100, start);
    voter.adopt(&list(4, &[0, 1, 2]), start);
    let now = start + QUORUM_LEASE;
    let known = |host, epoch| reply(Vote::Abstain, heartbeat(host, 200, epoch), &[]);

    voter.on_reply(now, &known(1, 4), now);
    voter.on_reply(now, &known(2, 0), now);
    assert_eq!(voter.epoch(), 0, "the list of host 2 is not confirmed");
    voter.on_reply(now + STEP, &known(2, 5), now + STEP);
    assert_eq!(voter.epoch(), 0, "host 2 has a later list");
    assert_eq!(vote(&mut voter, &heartbeat(1, 200, 4), now + STEP), Vote::Abstain);

    voter.on_reply(now + 2 * STEP, &known(2, 4), now + 2 * STEP);
    assert_eq!(voter.epoch(), 4);
    assert_eq!(vote(&mut voter, &heartbeat(1, 200, 4), now + 2 * STEP), Vote::Up);
}

/// Guards against an epoch that settles by an old reply of a voter that has since
/// restarted and may have learned an older list.
#[test]
fn an_epoch_settles_only_by_recent_replies() {
    let (mut host, now) = voter(1);
    host.adopt(&list(2, &[0, 1, 2]), now);
    let holds = reply(Vote::Abstain, heartbeat(1, 200, 2), &[]);

    host.on_reply(now, &holds, now);
    assert!(!host.is_settled(now + QUORUM_LEASE));
    host.on_reply(now + STEP, &holds, now + STEP);
    assert!(!host.is_settled(now + QUORUM_LEASE - Duration::from_millis(1)));
    assert!(host.is_settled(now + QUORUM_LEASE));
}

/// Guards against a candidate that relies on votes for too long, by counting
/// support from the arrival of a reply, or too early, by counting the age of a
/// denial from the send time of the heartbeat.
#[test]
fn support_counts_from_the_send_time_and_denials_from_the_arrival() {
    let (mut host, now) = voter(1);
    let sent = advance(&mut host, now, DOWN_AFTER + QUORUM_LEASE);
    let arrived = sent + Duration::from_millis(400);
    let denial = reply(Vote::Up, heartbeat(2, 300, 1), &[(1, 1_000)]);
    host.on_reply(sent, &denial, arrived);

    // The reported age is 200 ms short of the lease time. Between its report and
    // its arrival an unknown time has passed, which must not count.
    assert!(host.lease(arrived + Duration::from_millis(199)).down.is_empty());
    assert_eq!(host.lease(arrived + Duration::from_millis(200)).down, [member(1).host]);
    // The candidate counts the vote 10 ms shorter than the voter does, because
    // their clocks may run at different rates.
    assert!(host.holds_lease(sent + QUORUM_LEASE - Duration::from_millis(11)));
    assert!(!host.holds_lease(sent + QUORUM_LEASE - Duration::from_millis(10)));
}

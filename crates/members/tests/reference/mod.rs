//! Reference model of vote counting, which counts one denial at a time and
//! caches nothing. Hosts are identified by number; the local host is number 0.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use chervil_members::DOWN_AFTER;
use chervil_members::QUORUM_LEASE;

/// Same value as the private constant of the crate.
const CLOCK_RATE_MARGIN: Duration = Duration::from_millis(10);

/// Same value as the private constant of the crate.
const MIN_LEASE: Duration = Duration::from_millis(300);

/// Denial reported by another voter.
struct Denial {
    effective_from: Instant,
    until: Instant,
}

struct Host {
    last_heard: Instant,
    /// When the local host last supported this one.
    supported: Option<Instant>,
    /// Start and last report of the local host's denial of this one.
    denied: Option<(Instant, Instant)>,
    /// Send time of the newest heartbeat that this host answered.
    last_sent: Option<Instant>,
    /// Send time of the newest heartbeat that this host supported.
    support: Option<Instant>,
    denials: BTreeMap<usize, Denial>,
    denied_since: Option<Instant>,
}

/// Membership state of host 0, whose list is confirmed since `start`.
pub struct Reference {
    start: Instant,
    lists: [Vec<usize>; 2],
    hosts: BTreeMap<usize, Host>,
}

impl Reference {
    pub fn new(start: Instant) -> Reference {
        let hosts = BTreeMap::from([(0, Host::new(start))]);
        Reference { start, lists: [Vec::new(), Vec::new()], hosts }
    }

    pub fn adopt(&mut self, lists: [Vec<usize>; 2], now: Instant) {
        for host in lists.iter().flatten() {
            self.hosts.entry(*host).or_insert_with(|| Host::new(now));
        }
        let listed = |h: &usize| lists.iter().any(|l| l.contains(h));
        self.hosts.retain(|id, host| {
            let last_vote = host.denied.map(|d| d.1).max(host.supported);
            *id == 0 || listed(id) || last_vote.is_some_and(|at| now < at + QUORUM_LEASE)
        });
        let known: BTreeSet<usize> = self.hosts.keys().copied().collect();
        self.hosts.values_mut().for_each(|h| h.denials.retain(|id, _| known.contains(id)));
        self.lists = lists;
    }

    pub fn reacquire(&mut self, now: Instant) {
        for host in self.hosts.values_mut() {
            (host.last_sent, host.support) = (host.last_sent.max(Some(now)), None);
            host.denials.clear();
        }
    }

    /// Handles a heartbeat of a host, which reports the local denials to it.
    pub fn hear(&mut self, id: usize, now: Instant) {
        let (can_vote, listed) = (self.can_vote(now), self.is_listed(id));
        if let Some(host) = self.hosts.get_mut(&id).filter(|_| listed) {
            host.last_heard = now;
            if can_vote && host.denied.is_none_or(|(_, reported)| now >= reported + QUORUM_LEASE) {
                (host.denied, host.supported) = (None, Some(now));
            }
        }
        for id in self.listed_others() {
            self.own_denial(id, now);
        }
    }

    pub fn reply(
        &mut self,
        voter: usize,
        sent: Instant,
        now: Instant,
        up: bool,
        denied: &[(usize, u64)],
    ) {
        let known: BTreeSet<usize> = self.hosts.keys().copied().collect();
        let Some(host) = self.hosts.get_mut(&voter).filter(|h| h.last_sent < Some(sent)) else {
            return;
        };
        host.last_sent = Some(sent);
        host.support = if up { Some(sent) } else { host.support };
        host.denials.retain(|_, d| d.until > now && d.effective_from < d.until);
        for (id, age) in denied.iter().filter(|(h, _)| known.contains(h)) {
            let effective_from = now + QUORUM_LEASE.saturating_sub(Duration::from_millis(*age));
            host.denials.insert(
                *id,
                Denial { effective_from, until: sent + QUORUM_LEASE - CLOCK_RATE_MARGIN },
            );
        }
    }

    pub fn tick(&mut self, now: Instant) {
        let can_vote = self.can_vote(now);
        for host in self.hosts.iter_mut().filter(|(id, _)| **id != 0).map(|(_, h)| h) {
            if can_vote && host.denied.is_none() && host.is_silent(now) {
                host.denied = Some((now, now));
            }
        }
        let denied = self.denied_until(now);
        for (id, host) in &mut self.hosts {
            let since = host.denied_since.or(Some(now));
            host.denied_since = since.filter(|_| denied.contains_key(id));
        }
    }

    /// Remaining milliseconds of the lease, and the hosts that are down.
    pub fn lease(&mut self, now: Instant) -> (u64, Vec<usize>) {
        let member = self.lists[0].contains(&0);
        let own = self.can_vote(now).then_some(now);
        let support = |id: usize| if id == 0 { own } else { self.hosts[&id].support };
        let end = self.majority_time(support).map(|at| at + QUORUM_LEASE - CLOCK_RATE_MARGIN);
        let Some(mut until) = end.filter(|end| member && *end > now) else {
            return (0, Vec::new());
        };
        let min_end = now + MIN_LEASE.min(until - now);
        let mut denied = self.denied_until(now);
        denied.retain(|_, end| *end >= min_end);
        until = denied.values().copied().fold(until, Instant::min);
        ((until - now).as_millis() as u64, denied.into_keys().collect())
    }

    /// Hosts of the current list that a majority has denied for `time`.
    pub fn denied_for(&self, time: Duration, now: Instant) -> Vec<usize> {
        let since = |id: &usize| self.hosts[id].denied_since;
        let denied = |id: &usize| since(id).is_some_and(|since| now >= since + time);
        self.lists[0].iter().copied().filter(denied).collect()
    }

    fn denied_until(&mut self, now: Instant) -> BTreeMap<usize, Instant> {
        let mut denied = BTreeMap::new();
        for id in self.listed_others() {
            let own = self.own_denial(id, now);
            let valid = |d: &&Denial| d.effective_from <= now && now < d.until;
            let until = |voter: usize| match voter {
                0 => own,
                _ => self.hosts[&voter].denials.get(&id).filter(valid).map(|d| d.until),
            };
            denied.extend(self.majority_time(until).map(|end| (id, end)));
        }
        denied
    }

    fn own_denial(&mut self, id: usize, now: Instant) -> Option<Instant> {
        let can_vote = self.can_vote(now);
        let host = self.hosts.get_mut(&id)?;
        let silent = host.is_silent(now);
        let (since, reported) = host.denied.as_mut().filter(|_| can_vote && silent)?;
        *reported = now;
        (now - *since >= QUORUM_LEASE).then(|| now + QUORUM_LEASE - CLOCK_RATE_MARGIN)
    }

    /// Latest time that the votes of a majority of each list reach.
    fn majority_time<F>(&self, time: F) -> Option<Instant>
    where
        F: Fn(usize) -> Option<Instant>,
    {
        let list_time = |list: &Vec<usize>| {
            let mut times: Vec<Instant> = list.iter().filter_map(|id| time(*id)).collect();
            times.sort();
            times.into_iter().rev().nth(list.len() / 2)
        };
        let current = list_time(&self.lists[0])?;
        if self.lists[1].is_empty() {
            Some(current)
        } else {
            Some(current.min(list_time(&self.lists[1])?))
        }
    }

    fn listed_others(&self) -> BTreeSet<usize> {
        self.lists.iter().flatten().copied().filter(|id| *id != 0).collect()
    }

    fn is_listed(&self, id: usize) -> bool {
        self.lists.iter().any(|l| l.contains(&id))
    }

    fn can_vote(&self, now: Instant) -> bool {
        now >= self.start + QUORUM_LEASE
    }
}

impl Host {
    fn new(now: Instant) -> Host {
        Host {
            last_heard: now,
            supported: None,
            denied: None,
            last_sent: None,
            support: None,
            denials: BTreeMap::new(),
            denied_since: None,
        }
    }

    fn is_silent(&self, now: Instant) -> bool {
        now >= self.last_heard + DOWN_AFTER
    }
}

//! Discrete-event simulation of several hosts with their gates, a network and a
//! store in virtual time. After every event it checks that no group has two
//! owners.
#![allow(dead_code, reason = "each test file uses a part of the simulation")]
#![allow(clippy::unwrap_used, reason = "a fixture that fails should end its test")]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

use chervil_members::change::first_list;
use chervil_members::membership::Membership;
use chervil_members::owner::owns;
use chervil_rpc::agent::Heartbeat;
use chervil_rpc::agent::HeartbeatReply;
use chervil_rpc::agent::MemberHost;
use chervil_rpc::agent::MemberList;

mod faults;

pub use faults::Fault;

/// Number of groups; each group is a bit in the sets of groups.
pub const GROUPS: usize = 16;

/// Interval of the ticks and heartbeats of an agent.
const TICK_MS: u64 = 250;

/// Interval at which a gate polls its agent for the lease.
const LEASE_POLL_MS: u64 = 100;

const ZONES: usize = 2;

#[derive(Debug)]
enum Event {
    Tick(usize),
    LeasePoll(usize),
    LeaseRequest { host: usize, sent: u64 },
    Heartbeat { to: usize, heartbeat: Heartbeat, from: usize, sent: u64 },
    Reply { to: usize, from: usize, process: u64, sent: u64, reply: HeartbeatReply },
    ListReceived { to: usize, list: MemberList },
    StoreWrite { host: usize, process: u64, next: MemberList, lost: bool },
    StartAgent(usize),
    Fault(Fault),
}

/// Last lease that a gate received.
#[derive(Clone, Debug)]
struct GateLease {
    /// End of the lease by the host's clock.
    until: Instant,
    /// Bit set of the groups that the host owns.
    groups: u32,
}

struct Host {
    /// `None` while the agent restarts.
    agent: Option<Membership>,
    /// Random number of the agent's process.
    process: u64,
    paused_until: u64,
    /// Whether the gate runs.
    serving: bool,
    lease: Option<GateLease>,
    /// Microseconds of the host's clock per millisecond of virtual time.
    clock_rate: u64,
}

/// Simulation in virtual time; all times are in milliseconds since its start.
pub struct Simulation {
    start: Instant,
    now: u64,
    /// Number of events scheduled; orders events of the same time.
    sequence: u64,
    rng_state: u64,
    /// Time, sequence number and index in `payloads` of the scheduled events.
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    payloads: Vec<Option<Event>>,
    hosts: Vec<Host>,
    /// Extra delay by sender and receiver; `None` loses all messages.
    delays: Vec<Vec<Option<u64>>>,
    loss_percent: u64,
    /// Member list in the store.
    store: Option<MemberList>,
    store_up: bool,
}

impl Simulation {
    /// Starts `size` hosts, of which the first `listed` are in the member list.
    pub fn new(size: usize, listed: usize, seed: u64) -> Simulation {
        let mut list = first_list(member(0));
        list.hosts = (0..listed).map(member).collect();
        let mut sim = Simulation {
            start: Instant::now(),
            now: 0,
            sequence: 0,
            rng_state: seed | 1,
            events: BinaryHeap::new(),
            payloads: Vec::new(),
            hosts: Vec::new(),
            delays: vec![vec![Some(0); size]; size],
            loss_percent: 0,
            store: Some(list),
            store_up: true,
        };
        for host in 0..size {
            let (agent, process) = (None, 0);
            let clock_rate = 997 + sim.random_below(7);
            sim.hosts.push(Host {
                agent,
                process,
                paused_until: 0,
                serving: true,
                lease: None,
                clock_rate,
            });
            sim.start_agent(host);
            let phase = sim.random_below(TICK_MS);
            sim.after(phase, Event::Tick(host));
            sim.after(phase % LEASE_POLL_MS, Event::LeasePoll(host));
        }
        sim
    }

    /// Schedules a fault at the time `at`.
    pub fn schedule(&mut self, at: u64, fault: Fault) {
        self.after(at - self.now, Event::Fault(fault));
    }

    /// Runs for `ms`; panics when two hosts own one group.
    pub fn advance(&mut self, ms: u64) {
        self.run_until(self.now + ms).unwrap();
    }

    /// Runs until `end`; fails when two hosts own one group.
    pub fn run_until(&mut self, end: u64) -> Result<(), String> {
        while let Some(Reverse((at, _, index))) = self.events.peek().copied() {
            if at > end {
                break;
            }
            self.events.pop();
            self.now = at;
            if let Some(event) = self.payloads[index].take() {
                self.handle(event);
            }
            self.check_owners()?;
        }
        self.now = end;
        Ok(())
    }

    /// Bit set of the groups that `host` may send to now.
    pub fn groups_of(&self, host: usize) -> u32 {
        let lease =
            self.hosts[host].lease.as_ref().filter(|l| self.instant(host, self.now) < l.until);
        lease.map_or(0, |l| l.groups)
    }

    /// Bit set of the groups that any host may send to now.
    pub fn owned_groups(&self) -> u32 {
        (0..self.hosts.len()).fold(0, |all, h| all | self.groups_of(h))
    }

    /// Virtual time in milliseconds.
    pub fn now(&self) -> u64 {
        self.now
    }

    /// Epoch of a host's list; 0 while its agent restarts.
    pub fn epoch(&self, host: usize) -> u64 {
        self.hosts[host].agent.as_ref().map_or(0, |a| a.list().epoch)
    }

    /// Fails when two hosts own one group.
    fn check_owners(&self) -> Result<(), String> {
        let mut seen = 0;
        for host in 0..self.hosts.len() {
            let groups = self.groups_of(host);
            if seen & groups != 0 {
                let leases: Vec<_> = self.hosts.iter().map(|h| &h.lease).collect();
                let epochs: Vec<u64> = (0..self.hosts.len()).map(|h| self.epoch(h)).collect();
                return Err(format!(
                    "two owners of groups {:b} at {} ms: {leases:?}, epochs {epochs:?}",
                    seen & groups,
                    self.now
                ));
            }
            seen |= groups;
        }
        Ok(())
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(host) => self.tick(host),
            Event::LeasePoll(host) => self.poll_lease(host),
            Event::LeaseRequest { host, sent } => self.grant_lease(host, sent),
            Event::Heartbeat { to, heartbeat, from, sent } => {
                self.deliver_heartbeat(to, heartbeat, from, sent);
            }
            Event::Reply { to, from, process, sent, reply } => {
                self.deliver_reply(to, from, process, sent, reply);
            }
            Event::ListReceived { to, list } => {
                let now = self.instant(to, self.now);
                if let Some(agent) = self.running_agent(to) {
                    agent.adopt(&list, now);
                }
            }
            Event::StoreWrite { host, process, next, lost } => {
                self.write_store(host, process, next, lost)
            }
            Event::StartAgent(host) => self.start_agent(host),
            Event::Fault(fault) => self.inject(fault),
        }
    }

    /// The agent of a host; `None` while it restarts or is paused.
    fn running_agent(&mut self, host: usize) -> Option<&mut Membership> {
        let host = &mut self.hosts[host];
        if self.now < host.paused_until { None } else { host.agent.as_mut() }
    }

    /// Postpones an event to the end of the host's pause; returns it if the host
    /// is not paused.
    fn defer(&mut self, host: usize, event: Event) -> Option<Event> {
        let paused_until = self.hosts[host].paused_until;
        if self.now >= paused_until {
            return Some(event);
        }
        self.after(paused_until - self.now, event);
        None
    }

    fn tick(&mut self, host: usize) {
        let Some(_) = self.defer(host, Event::Tick(host)) else { return };
        self.after(TICK_MS, Event::Tick(host));
        self.read_store(host);
        let now = self.instant(host, self.now);
        let serving = self.hosts[host].serving;
        let Some(agent) = self.running_agent(host) else { return };
        agent.tick(now);
        let heartbeat = heartbeat(agent, host, serving);
        for to in (0..self.hosts.len()).filter(|to| *to != host) {
            let heartbeat = heartbeat.clone();
            self.send(host, to, Event::Heartbeat { to, heartbeat, from: host, sent: self.now });
        }
    }

    /// Reads the list from the store if the host's list is not confirmed.
    fn read_store(&mut self, host: usize) {
        let now = self.instant(host, self.now);
        let list = self.store.clone().filter(|_| self.store_up);
        let Some(agent) = self.running_agent(host).filter(|a| !a.is_list_confirmed()) else {
            return;
        };
        if let Some(list) = list {
            agent.adopt(&list, now);
            agent.confirm_list();
        }
    }

    fn deliver_heartbeat(&mut self, to: usize, heartbeat: Heartbeat, from: usize, sent: u64) {
        let event = Event::Heartbeat { to, heartbeat, from, sent };
        let Some(Event::Heartbeat { heartbeat, .. }) = self.defer(to, event) else { return };
        let now = self.instant(to, self.now);
        let serving = self.hosts[to].serving;
        let Some(agent) = self.running_agent(to) else { return };
        let answer = agent.on_heartbeat(&heartbeat, now);
        let state = self::heartbeat(agent, to, serving);
        let behind = agent.list().epoch < heartbeat.epoch;
        let reply = HeartbeatReply { vote: answer.vote, state, denials: answer.denials };
        let process = heartbeat.incarnation >> 8;
        self.send(to, from, Event::Reply { to: from, from: to, process, sent, reply });
        if behind {
            self.pull(to, from);
        }
    }

    fn deliver_reply(
        &mut self,
        to: usize,
        from: usize,
        process: u64,
        sent: u64,
        reply: HeartbeatReply,
    ) {
        let event = Event::Reply { to, from, process, sent, reply };
        let Some(Event::Reply { reply, .. }) = self.defer(to, event) else { return };
        // A reply arrives on the connection of the process that sent the
        // heartbeat, and is lost with it.
        if self.hosts[to].process != process {
            return;
        }
        let (sent, now) = (self.instant(to, sent), self.instant(to, self.now));
        let Some(agent) = self.running_agent(to) else { return };
        agent.on_reply(sent, &reply, now);
        // A host without a list pulls it from any peer.
        if agent.list().epoch < reply.state.epoch || agent.list().epoch == 0 {
            self.pull(to, from);
        }
    }

    /// Copies the list of `from` to the host `to`.
    fn pull(&mut self, to: usize, from: usize) {
        let list = self.hosts[from].agent.as_ref().map(|a| a.list().clone());
        if let Some(list) = list.filter(|l| l.epoch > 0) {
            self.send(from, to, Event::ListReceived { to, list });
        }
    }

    fn poll_lease(&mut self, host: usize) {
        self.after(LEASE_POLL_MS, Event::LeasePoll(host));
        if self.hosts[host].serving {
            let delay = self.random_below(30);
            self.after(delay, Event::LeaseRequest { host, sent: self.now });
        }
    }

    /// Answers the lease request that the gate sent at `sent`. The gate counts the
    /// remaining time from its own send time.
    fn grant_lease(&mut self, host: usize, sent: u64) {
        let Some(_) = self.defer(host, Event::LeaseRequest { host, sent }) else { return };
        let now = self.instant(host, self.now);
        let Some(agent) = self.running_agent(host) else { return };
        let lease = agent.lease(now);
        let list = agent.list();
        let mut groups = 0;
        for group in 0..GROUPS {
            let (item, zone) = (format!("g{group}"), zone(group));
            if owns(list, &lease, &name(host), &item, &zone) {
                groups |= 1 << group;
            }
        }
        let remaining = Duration::from_millis(lease.remaining_ms);
        let gate_lease = GateLease { until: self.instant(host, sent) + remaining, groups };
        if self.hosts[host].serving {
            self.hosts[host].lease = Some(gate_lease);
        }
    }

    /// Compare-and-swap of the stored list. With `lost`, the writer gets no reply.
    fn write_store(&mut self, host: usize, process: u64, next: MemberList, lost: bool) {
        let current = self.store.as_ref().map_or(0, |l| l.epoch);
        if !self.store_up || current + 1 != next.epoch {
            return;
        }
        self.store = Some(next.clone());
        if !lost && self.hosts[host].process == process {
            self.after(0, Event::ListReceived { to: host, list: next });
        }
    }

    fn start_agent(&mut self, host: usize) {
        let process = self.random_below(1 << 32);
        let now = self.instant(host, self.now);
        let host_name = name(host);
        let state = &mut self.hosts[host];
        state.process = process;
        state.paused_until = 0;
        state.agent = Some(Membership::new(&host_name, process << 8, now));
    }

    fn send(&mut self, from: usize, to: usize, event: Event) {
        let lost = self.random_below(100) < self.loss_percent;
        let jitter = 1 + self.random_below(4);
        if let Some(delay) = self.delays[from][to].filter(|_| !lost) {
            // The random part of the delay also reorders messages.
            let spread = self.random_below(delay + 1);
            self.after(jitter + delay / 2 + spread, event);
        }
    }

    fn after(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.payloads.push(Some(event));
        self.events.push(Reverse((self.now + delay, self.sequence, self.payloads.len() - 1)));
    }

    /// Virtual time `ms` by the clock of `host`.
    fn instant(&self, host: usize, ms: u64) -> Instant {
        self.start + Duration::from_micros(ms * self.hosts[host].clock_rate)
    }

    /// Pseudo-random number (xorshift) below `limit`.
    fn random_below(&mut self, limit: u64) -> u64 {
        self.rng_state ^= self.rng_state << 13;
        self.rng_state ^= self.rng_state >> 7;
        self.rng_state ^= self.rng_state << 17;
        self.rng_state % limit
    }
}

fn heartbeat(agent: &Membership, host: usize, serving: bool) -> Heartbeat {
    Heartbeat {
        host: name(host),
        incarnation: agent.incarnation(),
        epoch: agent.epoch(),
        revision: 0,
        staleness_ms: None,
        leaving: false,
        released: agent.is_released(),
        serving,
        join: None,
    }
}

/// List entry of the host with this number.
pub fn member(host: usize) -> MemberHost {
    let address = ([127, 0, 0, 1], 1000 + host as u16).into();
    MemberHost { host: name(host), zone: zone(host), agent: address, gate: address }
}

fn name(host: usize) -> Box<str> {
    format!("h{host}").into()
}

fn zone(number: usize) -> Box<str> {
    format!("z{}", number % ZONES).into()
}

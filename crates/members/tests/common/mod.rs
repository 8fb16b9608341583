//! Simulation of several hosts with a network, a store and gates, on one
//! virtual time line, and a monitor of the rights to send.
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

/// Groups whose ownership is monitored.
pub const GROUPS: usize = 16;

const TICK_MS: u64 = 250;
const GATE_MS: u64 = 100;
const ZONES: usize = 2;

#[derive(Debug)]
enum Event {
    Tick(usize),
    Gate(usize),
    Lease { host: usize, asked: u64 },
    Beat { to: usize, heartbeat: Heartbeat, address: usize, sent: u64 },
    Reply { to: usize, from: usize, process: u64, sent: u64, reply: HeartbeatReply },
    List { to: usize, list: MemberList },
    Write { host: usize, process: u64, next: MemberList, lost: bool },
    Start(usize),
    Fault(Fault),
}

/// What a gate holds of its last lease.
#[derive(Clone, Debug)]
struct Right {
    /// End by the host's clock.
    until: Instant,
    groups: u32,
}

struct Host {
    agent: Option<Membership>,
    process: u64,
    paused: u64,
    serving: bool,
    right: Option<Right>,
    /// Rate of the host's clock, in thousandths.
    rate: u64,
}

/// The simulation.
pub struct World {
    start: Instant,
    now: u64,
    order: u64,
    random: u64,
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    payloads: Vec<Option<Event>>,
    hosts: Vec<Host>,
    delays: Vec<Vec<Option<u64>>>,
    loss: u64,
    store: Option<MemberList>,
    store_up: bool,
}

impl World {
    /// Hosts of which the first `listed` are in the member list.
    pub fn new(size: usize, listed: usize, seed: u64) -> World {
        let mut list = first_list(member(0));
        list.hosts = (0..listed).map(member).collect();
        let mut world = World {
            start: Instant::now(),
            now: 0,
            order: 0,
            random: seed | 1,
            events: BinaryHeap::new(),
            payloads: Vec::new(),
            hosts: Vec::new(),
            delays: vec![vec![Some(0); size]; size],
            loss: 0,
            store: Some(list),
            store_up: true,
        };
        for host in 0..size {
            let (agent, process) = (None, 0);
            let rate = 997 + world.below(7);
            world.hosts.push(Host { agent, process, paused: 0, serving: true, right: None, rate });
            world.start_agent(host);
            let phase = world.below(TICK_MS);
            world.after(phase, Event::Tick(host));
            world.after(phase % GATE_MS, Event::Gate(host));
        }
        world
    }

    /// Plans a fault.
    pub fn plan(&mut self, at: u64, fault: Fault) {
        self.after(at - self.now, Event::Fault(fault));
    }

    /// Runs for a while, in which no group may have two owners.
    pub fn pass(&mut self, ms: u64) {
        self.run(self.now + ms).unwrap();
    }

    /// Runs until `end`; fails when two hosts hold the right to one group.
    pub fn run(&mut self, end: u64) -> Result<(), String> {
        while let Some(Reverse((at, _, slot))) = self.events.peek().copied() {
            if at > end {
                break;
            }
            self.events.pop();
            self.now = at;
            if let Some(event) = self.payloads[slot].take() {
                self.handle(event);
            }
            self.check()?;
        }
        self.now = end;
        Ok(())
    }

    /// Groups to which `host` may send now.
    pub fn groups(&self, host: usize) -> u32 {
        let right =
            self.hosts[host].right.as_ref().filter(|r| self.instant(host, self.now) < r.until);
        right.map_or(0, |r| r.groups)
    }

    /// Groups to which some host may send now.
    pub fn owned(&self) -> u32 {
        (0..self.hosts.len()).fold(0, |all, h| all | self.groups(h))
    }

    /// Time in milliseconds.
    pub fn now(&self) -> u64 {
        self.now
    }

    /// Epoch of a host's list.
    pub fn epoch(&self, host: usize) -> u64 {
        self.hosts[host].agent.as_ref().map_or(0, |a| a.list().epoch)
    }

    fn check(&self) -> Result<(), String> {
        let mut seen = 0;
        for host in 0..self.hosts.len() {
            let groups = self.groups(host);
            if seen & groups != 0 {
                let rights: Vec<_> = self.hosts.iter().map(|h| &h.right).collect();
                let epochs: Vec<u64> = (0..self.hosts.len()).map(|h| self.epoch(h)).collect();
                return Err(format!("at {} ms: {rights:?}, epochs {epochs:?}", self.now));
            }
            seen |= groups;
        }
        Ok(())
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(host) => self.tick(host),
            Event::Gate(host) => self.ask_lease(host),
            Event::Lease { host, asked } => self.lease(host, asked),
            Event::Beat { to, heartbeat, address, sent } => self.beat(to, heartbeat, address, sent),
            Event::Reply { to, from, process, sent, reply } => {
                self.reply(to, from, process, sent, reply);
            }
            Event::List { to, list } => {
                let now = self.instant(to, self.now);
                if let Some(agent) = self.awake(to) {
                    agent.adopt(&list, now);
                }
            }
            Event::Write { host, process, next, lost } => self.write(host, process, next, lost),
            Event::Start(host) => self.start_agent(host),
            Event::Fault(fault) => self.fault(fault),
        }
    }

    /// The agent, when it runs and is not paused.
    fn awake(&mut self, host: usize) -> Option<&mut Membership> {
        let host = &mut self.hosts[host];
        if self.now < host.paused { None } else { host.agent.as_mut() }
    }

    /// Keeps an event for the end of the host's pause.
    fn defer(&mut self, host: usize, event: Event) -> Option<Event> {
        let paused = self.hosts[host].paused;
        if self.now >= paused {
            return Some(event);
        }
        self.after(paused - self.now, event);
        None
    }

    fn tick(&mut self, host: usize) {
        let Some(_) = self.defer(host, Event::Tick(host)) else { return };
        self.after(TICK_MS, Event::Tick(host));
        self.read_store(host);
        let now = self.instant(host, self.now);
        let serving = self.hosts[host].serving;
        let Some(agent) = self.awake(host) else { return };
        agent.tick(now);
        let heartbeat = heartbeat(agent, host, serving);
        for to in (0..self.hosts.len()).filter(|to| *to != host) {
            let heartbeat = heartbeat.clone();
            self.send(host, to, Event::Beat { to, heartbeat, address: host, sent: self.now });
        }
    }

    /// A host that has no reliable list reads the store.
    fn read_store(&mut self, host: usize) {
        let now = self.instant(host, self.now);
        let list = self.store.clone().filter(|_| self.store_up);
        let Some(agent) = self.awake(host).filter(|a| !a.is_learned()) else { return };
        if let Some(list) = list {
            agent.adopt(&list, now);
            agent.set_learned();
        }
    }

    fn beat(&mut self, to: usize, heartbeat: Heartbeat, from: usize, sent: u64) {
        let event = Event::Beat { to, heartbeat, address: from, sent };
        let Some(Event::Beat { heartbeat, .. }) = self.defer(to, event) else { return };
        let now = self.instant(to, self.now);
        let serving = self.hosts[to].serving;
        let Some(agent) = self.awake(to) else { return };
        let ballot = agent.on_heartbeat(&heartbeat, now);
        let state = self::heartbeat(agent, to, serving);
        let behind = agent.list().epoch < heartbeat.epoch;
        let reply = HeartbeatReply { vote: ballot.vote, state, denials: ballot.denials };
        let process = heartbeat.incarnation >> 8;
        self.send(to, from, Event::Reply { to: from, from: to, process, sent, reply });
        if behind {
            self.pull(to, from);
        }
    }

    fn reply(&mut self, to: usize, from: usize, process: u64, sent: u64, reply: HeartbeatReply) {
        let event = Event::Reply { to, from, process, sent, reply };
        let Some(Event::Reply { reply, .. }) = self.defer(to, event) else { return };
        // A reply arrives on the connection of the process that asked.
        if self.hosts[to].process != process {
            return;
        }
        let (sent, now) = (self.instant(to, sent), self.instant(to, self.now));
        let Some(agent) = self.awake(to) else { return };
        agent.on_reply(sent, &reply, now);
        // A host without a list asks any peer.
        if agent.list().epoch < reply.state.epoch || agent.list().epoch == 0 {
            self.pull(to, from);
        }
    }

    fn pull(&mut self, to: usize, from: usize) {
        let list = self.hosts[from].agent.as_ref().map(|a| a.list().clone());
        if let Some(list) = list.filter(|l| l.epoch > 0) {
            self.send(from, to, Event::List { to, list });
        }
    }

    fn ask_lease(&mut self, host: usize) {
        self.after(GATE_MS, Event::Gate(host));
        if self.hosts[host].serving {
            let delay = self.below(30);
            self.after(delay, Event::Lease { host, asked: self.now });
        }
    }

    /// The answer to a gate; it counts the remaining time from its own send
    /// time.
    fn lease(&mut self, host: usize, asked: u64) {
        let Some(_) = self.defer(host, Event::Lease { host, asked }) else { return };
        let now = self.instant(host, self.now);
        let Some(agent) = self.awake(host) else { return };
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
        let right = Right { until: self.instant(host, asked) + remaining, groups };
        if self.hosts[host].serving {
            self.hosts[host].right = Some(right);
        }
    }

    fn write(&mut self, host: usize, process: u64, next: MemberList, lost: bool) {
        let current = self.store.as_ref().map_or(0, |l| l.epoch);
        if !self.store_up || current + 1 != next.epoch {
            return;
        }
        self.store = Some(next.clone());
        if !lost && self.hosts[host].process == process {
            self.after(0, Event::List { to: host, list: next });
        }
    }

    fn start_agent(&mut self, host: usize) {
        let process = self.below(1 << 32);
        let now = self.instant(host, self.now);
        let host_name = name(host);
        let state = &mut self.hosts[host];
        state.process = process;
        state.paused = 0;
        state.agent = Some(Membership::new(&host_name, process << 8, now));
    }

    fn send(&mut self, from: usize, to: usize, event: Event) {
        let lost = self.below(100) < self.loss;
        let jitter = 1 + self.below(4);
        if let Some(delay) = self.delays[from][to].filter(|_| !lost) {
            // Slow links also reorder.
            let spread = self.below(delay + 1);
            self.after(jitter + delay / 2 + spread, event);
        }
    }

    fn after(&mut self, delay: u64, event: Event) {
        self.order += 1;
        self.payloads.push(Some(event));
        self.events.push(Reverse((self.now + delay, self.order, self.payloads.len() - 1)));
    }

    /// Time by the host's clock.
    fn instant(&self, host: usize, ms: u64) -> Instant {
        self.start + Duration::from_micros(ms * self.hosts[host].rate)
    }

    fn below(&mut self, limit: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % limit
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

/// Host number `host`.
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

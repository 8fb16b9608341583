//! Faults and operations of a simulation.

use chervil_members::change::next_list;

use super::Event;
use super::World;
use super::member;
use super::name;

/// One fault or operation.
#[derive(Clone, Debug)]
pub enum Fault {
    /// Loses all messages in one direction.
    Cut { from: usize, to: usize },
    /// Loses all messages from and to a host.
    Isolate { host: usize },
    /// Ends all cuts, delays and losses.
    Heal,
    /// Delays messages in one direction.
    Slow { from: usize, to: usize, ms: u64 },
    /// Loses this share of all messages, in percent.
    Loss { percent: u64 },
    /// The agent takes no step; its messages queue up.
    Pause { host: usize, ms: u64 },
    /// The agent is replaced by a new process; its gate lives on.
    Restart { host: usize, ms: u64 },
    /// The gate ends its work and the host releases its rights.
    Release { host: usize },
    /// The gate of a released host starts again.
    Renew { host: usize },
    /// Changes whether the store can be reached.
    Store { up: bool },
    /// A host adds and removes hosts, with a delay between read and write.
    Change { host: usize, join: usize, leave: usize, ms: u64, lost: bool },
}

impl World {
    pub(super) fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Cut { from, to } => self.delays[from][to] = None,
            Fault::Isolate { host } => {
                for other in 0..self.hosts.len() {
                    self.delays[host][other] = None;
                    self.delays[other][host] = None;
                }
            }
            Fault::Heal => {
                self.delays.iter_mut().flatten().for_each(|d| *d = Some(0));
                self.loss = 0;
            }
            Fault::Slow { from, to, ms } => self.delays[from][to] = Some(ms),
            Fault::Loss { percent } => self.loss = percent,
            Fault::Pause { host, ms } => {
                self.hosts[host].paused = self.hosts[host].paused.max(self.now + ms);
            }
            Fault::Restart { host, ms } => {
                self.hosts[host].agent = None;
                self.after(ms, Event::Start(host));
            }
            Fault::Release { host } => self.release(host),
            Fault::Renew { host } => self.renew(host),
            Fault::Store { up } => self.store_up = up,
            Fault::Change { host, join, leave, ms, lost } => {
                self.change(host, join, leave, ms, lost);
            }
        }
    }

    fn release(&mut self, host: usize) {
        if self.awake(host).is_none() {
            return;
        }
        self.hosts[host].serving = false;
        self.hosts[host].right = None;
        if let Some(agent) = self.awake(host) {
            agent.release();
        }
    }

    fn renew(&mut self, host: usize) {
        let now = self.instant(host, self.now);
        let Some(agent) = self.awake(host) else { return };
        if agent.is_released() {
            agent.reacquire(agent.incarnation() + 1, now);
        }
        self.hosts[host].serving = true;
    }

    fn change(&mut self, host: usize, join: usize, leave: usize, ms: u64, lost: bool) {
        let now = self.instant(host, self.now);
        let Some(stored) = self.store.clone().filter(|_| self.store_up) else { return };
        let process = self.hosts[host].process;
        let Some(agent) = self.awake(host) else { return };
        agent.adopt(&stored, now);
        if agent.list().epoch != stored.epoch || !agent.is_settled(now) {
            return;
        }
        if let Some(next) = next_list(&stored, &[member(join)], &[name(leave)]) {
            self.after(ms, Event::Write { host, process, next, lost });
        }
    }
}

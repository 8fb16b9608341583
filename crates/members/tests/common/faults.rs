//! Faults and administrative operations in a simulation.

use chervil_members::change::next_list;

use super::Event;
use super::Simulation;
use super::member;
use super::name;

/// One fault or operation.
#[derive(Clone, Debug)]
pub enum Fault {
    /// Loses all messages in one direction.
    Cut { from: usize, to: usize },
    /// Loses all messages from and to a host.
    Isolate { host: usize },
    /// Ends all cuts, delays and message loss.
    Heal,
    /// Delays messages in one direction.
    Delay { from: usize, to: usize, ms: u64 },
    /// Loses a random share of all messages.
    Loss { percent: u64 },
    /// Suspends the agent; its messages queue up until it resumes.
    Pause { host: usize, ms: u64 },
    /// Ends the agent and starts a new process after `ms`; the gate keeps running.
    Restart { host: usize, ms: u64 },
    /// Stops the gate and releases the host's lease.
    Release { host: usize },
    /// Starts the gate of a released host again.
    Reacquire { host: usize },
    /// Makes the store available or unavailable.
    Store { up: bool },
    /// `host` adds one host to the list and removes another, with `ms` between its
    /// read and its write. With `lost`, it gets no reply to the write.
    ChangeList { host: usize, join: usize, leave: usize, ms: u64, lost: bool },
}

impl Simulation {
    pub(super) fn inject(&mut self, fault: Fault) {
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
                self.loss_percent = 0;
            }
            Fault::Delay { from, to, ms } => self.delays[from][to] = Some(ms),
            Fault::Loss { percent } => self.loss_percent = percent,
            Fault::Pause { host, ms } => {
                let paused_until = &mut self.hosts[host].paused_until;
                *paused_until = (*paused_until).max(self.now + ms);
            }
            Fault::Restart { host, ms } => {
                self.hosts[host].agent = None;
                self.after(ms, Event::StartAgent(host));
            }
            Fault::Release { host } => self.release(host),
            Fault::Reacquire { host } => self.reacquire(host),
            Fault::Store { up } => self.store_up = up,
            Fault::ChangeList { host, join, leave, ms, lost } => {
                self.change_list(host, join, leave, ms, lost);
            }
        }
    }

    fn release(&mut self, host: usize) {
        if self.running_agent(host).is_none() {
            return;
        }
        self.hosts[host].serving = false;
        self.hosts[host].lease = None;
        if let Some(agent) = self.running_agent(host) {
            agent.release();
        }
    }

    fn reacquire(&mut self, host: usize) {
        let now = self.instant(host, self.now);
        let Some(agent) = self.running_agent(host) else { return };
        if agent.is_released() {
            agent.reacquire(agent.incarnation() + 1, now);
        }
        self.hosts[host].serving = true;
    }

    fn change_list(&mut self, host: usize, join: usize, leave: usize, ms: u64, lost: bool) {
        let now = self.instant(host, self.now);
        let Some(stored) = self.store.clone().filter(|_| self.store_up) else { return };
        let process = self.hosts[host].process;
        let Some(agent) = self.running_agent(host) else { return };
        agent.adopt(&stored, now);
        if agent.list().epoch != stored.epoch || !agent.is_settled(now) {
            return;
        }
        if let Some(next) = next_list(&stored, &[member(join)], &[name(leave)]) {
            self.after(ms, Event::StoreWrite { host, process, next, lost });
        }
    }
}

//! Majorities of the member list, joint with the list before during a change.

use std::time::Instant;

use slotmap::new_key_type;

new_key_type! {
    /// Key of a host in a [`Membership`](crate::membership::Membership).
    pub struct HostKey;
}

/// Hosts whose majorities decide.
#[derive(Clone, Debug, Default)]
pub struct Quorum {
    /// Hosts of the list in force.
    pub current: Vec<HostKey>,
    /// Hosts of the list before; empty when there is none.
    pub previous: Vec<HostKey>,
}

impl Quorum {
    /// Whether a host belongs to either list.
    pub fn contains(&self, host: HostKey) -> bool {
        self.current.contains(&host) || self.previous.contains(&host)
    }

    /// Oldest time in the newest majority of each list; `None` without one.
    pub fn newest<F>(&self, at: F) -> Option<Instant>
    where
        F: Fn(HostKey) -> Option<Instant>,
    {
        let current = newest_majority(&self.current, &at)?;
        if self.previous.is_empty() {
            return Some(current);
        }
        Some(current.min(newest_majority(&self.previous, &at)?))
    }

    /// Whether a majority of each list meets a condition.
    pub fn meets<F>(&self, condition: F) -> bool
    where
        F: Fn(HostKey) -> bool,
    {
        let majority =
            |hosts: &[HostKey]| hosts.iter().filter(|h| condition(**h)).count() > hosts.len() / 2;
        majority(&self.current) && (self.previous.is_empty() || majority(&self.previous))
    }

    /// Whether the hosts other than `me` that meet a condition share one with
    /// every majority of each list.
    ///
    /// A majority may consist of `me` and half of the others, so that more
    /// than the rest of the others must meet the condition.
    pub fn meets_without<F>(&self, me: HostKey, condition: F) -> bool
    where
        F: Fn(HostKey) -> bool,
    {
        let enough = |hosts: &[HostKey]| {
            let others = hosts.iter().filter(|h| **h != me);
            let met = others.filter(|h| condition(**h)).count();
            let needed = hosts.len().div_ceil(2);
            met >= if hosts.contains(&me) { needed.min(hosts.len() - 1) } else { needed }
        };
        enough(&self.current) && enough(&self.previous)
    }
}

fn newest_majority<F>(hosts: &[HostKey], at: &F) -> Option<Instant>
where
    F: Fn(HostKey) -> Option<Instant>,
{
    let mut times: Vec<Instant> = hosts.iter().filter_map(|h| at(*h)).collect();
    let oldest = hosts.len() / 2;
    if times.len() <= oldest {
        return None;
    }
    let (_, time, _) = times.select_nth_unstable_by(oldest, |a, b| b.cmp(a));
    Some(*time)
}

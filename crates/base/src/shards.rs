//! Sets of shard numbers in a compact text form.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use snafu::OptionExt as _;
use snafu::ResultExt as _;
use snafu::Snafu;

/// Number of a shard within one index version.
pub type Shard = u32;

/// Largest shard number that a set may hold.
pub const MAX_SHARD: Shard = 65_535;

/// Sorted set of shard numbers; its text form is `0-5;8`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
pub struct ShardSet {
    ranges: Vec<(Shard, Shard)>,
}

/// Reason why a text is not a shard set.
#[derive(Debug, Snafu)]
pub enum ShardSetError {
    /// A part is not a number.
    #[snafu(display("{part:?} is not a shard number; write numbers or ranges such as 0-5;8"))]
    Number {
        /// Offending part.
        part: Box<str>,
        /// Parse failure.
        source: std::num::ParseIntError,
    },
    /// A range is reversed or a number is too large.
    #[snafu(display("{part:?} is not a range of shards; write LOW-HIGH with HIGH at most 65535"))]
    Range {
        /// Offending part.
        part: Box<str>,
    },
}

impl ShardSet {
    /// Set of all shards below `count`.
    pub fn full(count: u32) -> ShardSet {
        match count.checked_sub(1) {
            Some(last) => ShardSet { ranges: vec![(0, last)] },
            None => ShardSet::default(),
        }
    }

    /// Whether the set holds `shard`.
    pub fn contains(&self, shard: Shard) -> bool {
        let i = self.ranges.partition_point(|r| r.1 < shard);
        self.ranges.get(i).is_some_and(|r| r.0 <= shard)
    }

    /// Shards in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = Shard> + '_ {
        self.ranges.iter().flat_map(|r| r.0..=r.1)
    }

    /// Number of shards in the set.
    pub fn len(&self) -> usize {
        self.ranges.iter().map(|r| (r.1 - r.0) as usize + 1).sum()
    }

    /// Whether the set holds no shard.
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }
}

impl FromIterator<Shard> for ShardSet {
    fn from_iter<I>(iter: I) -> ShardSet
    where
        I: IntoIterator<Item = Shard>,
    {
        let mut all: Vec<Shard> = iter.into_iter().collect();
        all.sort_unstable();
        all.dedup();
        let mut ranges: Vec<(Shard, Shard)> = Vec::new();
        for s in all {
            match ranges.last_mut() {
                Some(r) if r.1 + 1 == s => r.1 = s,
                _ => ranges.push((s, s)),
            }
        }
        ShardSet { ranges }
    }
}

impl FromStr for ShardSet {
    type Err = ShardSetError;

    fn from_str(text: &str) -> Result<ShardSet, ShardSetError> {
        let mut all = Vec::new();
        for part in text.split(';').map(str::trim).filter(|p| !p.is_empty()) {
            let (low, high) = part.split_once('-').unwrap_or((part, part));
            let low: Shard = low.trim().parse().context(NumberSnafu { part })?;
            let high: Shard = high.trim().parse().context(NumberSnafu { part })?;
            (low <= high && high <= MAX_SHARD).then_some(()).context(RangeSnafu { part })?;
            all.extend(low..=high);
        }
        Ok(all.into_iter().collect())
    }
}

impl TryFrom<Box<str>> for ShardSet {
    type Error = ShardSetError;

    fn try_from(text: Box<str>) -> Result<ShardSet, ShardSetError> {
        text.parse()
    }
}

impl From<ShardSet> for Box<str> {
    fn from(set: ShardSet) -> Box<str> {
        set.to_string().into()
    }
}

impl fmt::Display for ShardSet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, &(low, high)) in self.ranges.iter().enumerate() {
            let sep = if i == 0 { "" } else { ";" };
            if low == high {
                write!(f, "{sep}{low}")?;
            } else {
                write!(f, "{sep}{low}-{high}")?;
            }
        }
        Ok(())
    }
}

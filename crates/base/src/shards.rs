//! Sets of shard numbers in a compact text form.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use snafu::OptionExt as _;
use snafu::ResultExt as _;
use snafu::Snafu;

/// Number of a shard within one index version, counted from 0.
pub type Shard = u32;

/// Largest shard number that the text form of a set may contain.
pub const MAX_SHARD: Shard = 65_535;

/// Set of shard numbers, stored as sorted ranges. Its text form is a list such
/// as `0-5;8`, which is also how it is serialized.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
pub struct ShardSet {
    /// Inclusive ranges in ascending order, neither overlapping nor adjacent.
    ranges: Vec<(Shard, Shard)>,
}

/// Error of parsing the text form of a shard set.
#[derive(Debug, Snafu)]
pub enum ShardSetError {
    /// A bound is not a number.
    #[snafu(display("{part:?} is not a shard number; write numbers or ranges such as 0-5;8"))]
    Number {
        /// List element that contains it.
        part: Box<str>,
        /// Error of the integer parser.
        source: std::num::ParseIntError,
    },
    /// A range is reversed, or its upper bound exceeds [`MAX_SHARD`].
    #[snafu(display(
        "{part:?} is not a range of shards; write LOW-HIGH with LOW <= HIGH <= 65535"
    ))]
    Range {
        /// Invalid list element.
        part: Box<str>,
    },
}

impl ShardSet {
    /// Set of the shards from 0 up to, but not including, `count`.
    pub fn full(count: u32) -> ShardSet {
        match count.checked_sub(1) {
            Some(last) => ShardSet { ranges: vec![(0, last)] },
            None => ShardSet::default(),
        }
    }

    /// Whether the set contains `shard`.
    pub fn contains(&self, shard: Shard) -> bool {
        let i = self.ranges.partition_point(|&(_, high)| high < shard);
        self.ranges.get(i).is_some_and(|&(low, _)| low <= shard)
    }

    /// Iterates over the shards in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = Shard> + '_ {
        self.ranges.iter().flat_map(|&(low, high)| low..=high)
    }

    /// Number of shards in the set.
    pub fn len(&self) -> usize {
        self.ranges.iter().map(|&(low, high)| (high - low) as usize + 1).sum()
    }

    /// Whether the set contains no shard.
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }
}

impl FromIterator<Shard> for ShardSet {
    fn from_iter<I>(iter: I) -> ShardSet
    where
        I: IntoIterator<Item = Shard>,
    {
        let mut shards: Vec<Shard> = iter.into_iter().collect();
        shards.sort_unstable();
        shards.dedup();
        let mut ranges: Vec<(Shard, Shard)> = Vec::new();
        for shard in shards {
            match ranges.last_mut() {
                Some((_, high)) if *high + 1 == shard => *high = shard,
                _ => ranges.push((shard, shard)),
            }
        }
        ShardSet { ranges }
    }
}

impl FromStr for ShardSet {
    type Err = ShardSetError;

    fn from_str(text: &str) -> Result<ShardSet, ShardSetError> {
        let mut shards = Vec::new();
        for part in text.split(';').map(str::trim).filter(|p| !p.is_empty()) {
            let (low, high) = part.split_once('-').unwrap_or((part, part));
            let low: Shard = low.trim().parse().context(NumberSnafu { part })?;
            let high: Shard = high.trim().parse().context(NumberSnafu { part })?;
            (low <= high && high <= MAX_SHARD).then_some(()).context(RangeSnafu { part })?;
            shards.extend(low..=high);
        }
        Ok(shards.into_iter().collect())
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
            let separator = if i == 0 { "" } else { ";" };
            if low == high {
                write!(f, "{separator}{low}")?;
            } else {
                write!(f, "{separator}{low}-{high}")?;
            }
        }
        Ok(())
    }
}

//! Idempotency keys: `<unix seconds>-<random>`.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use chervil_base::digest::stable_hash;
use snafu::OptionExt as _;
use snafu::Snafu;
use snafu::ensure;

/// Age up to which a key is accepted.
pub const RETENTION: Duration = Duration::from_secs(3_600);

/// How far in the future the time of a key may be.
pub const MAX_AHEAD: Duration = Duration::from_secs(60);

/// Time that one bucket covers.
pub const BUCKET_SPAN: Duration = Duration::from_secs(3_600);

/// Buckets of each hour.
///
/// All hosts must agree on it, so that it is not a setting. More buckets hold
/// more claims; fewer buckets need fewer writes for the same claims.
pub const BUCKETS_PER_HOUR: u64 = 128;

/// Prefix of the buckets in the store.
pub const BUCKET_PREFIX: &str = "claim/";

/// Longest random part, in characters.
const MAX_RANDOM: usize = 64;

/// Why a key is refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum KeyError {
    /// The key does not have the form.
    #[snafu(display(
        "the idempotency key is malformed; write <unix seconds>-<random> with 1 to 64 letters, \
         digits, '-' or '_' as the random part"
    ))]
    Malformed,
    /// The key is older than the retention period.
    #[snafu(display(
        "the idempotency key is {age_s} s old and claims are kept for 3600 s; find out whether \
         the work was done before you send it with a new key"
    ))]
    Expired {
        /// Age in seconds.
        age_s: u64,
    },
    /// The key is from the future.
    #[snafu(display("the idempotency key is {ahead_s} s in the future; set the caller's clock"))]
    Future {
        /// Lead in seconds.
        ahead_s: u64,
    },
}

/// Time of a key.
pub fn key_time(key: &str) -> Result<SystemTime, KeyError> {
    let (seconds, random) = key.split_once('-').context(MalformedSnafu)?;
    let plain = |c: u8| c.is_ascii_alphanumeric() || c == b'-' || c == b'_';
    ensure!((1..=MAX_RANDOM).contains(&random.len()), MalformedSnafu);
    ensure!(random.bytes().all(plain), MalformedSnafu);
    // Leading zeros or a sign would give one time two spellings.
    ensure!(seconds.bytes().all(|c| c.is_ascii_digit()), MalformedSnafu);
    ensure!(!seconds.starts_with('0') && seconds.len() <= 11, MalformedSnafu);
    let seconds = seconds.parse().ok().context(MalformedSnafu)?;
    Ok(UNIX_EPOCH + Duration::from_secs(seconds))
}

/// Refuses a key whose time is out of bounds.
pub fn check(key: &str, wall: SystemTime) -> Result<(), KeyError> {
    let time = key_time(key)?;
    if let Ok(ahead) = time.duration_since(wall) {
        ensure!(ahead <= MAX_AHEAD, FutureSnafu { ahead_s: ahead.as_secs() });
    }
    if let Ok(age) = wall.duration_since(time) {
        ensure!(age <= RETENTION, ExpiredSnafu { age_s: age.as_secs() });
    }
    Ok(())
}

/// Bucket of a key, as a key of the store.
pub fn bucket_of(key: &str) -> Result<Box<str>, KeyError> {
    let hour = unix_ms(key_time(key)?) / BUCKET_SPAN.as_millis() as u64;
    Ok(format!("{BUCKET_PREFIX}{hour}/{}", stable_hash(key) % BUCKETS_PER_HOUR).into())
}

/// End of the time that a bucket covers.
pub fn bucket_end(bucket: &str) -> Option<SystemTime> {
    let hour: u32 = bucket.strip_prefix(BUCKET_PREFIX)?.split('/').next()?.parse().ok()?;
    Some(UNIX_EPOCH + BUCKET_SPAN * hour.checked_add(1)?)
}

/// Milliseconds since the epoch.
pub fn unix_ms(time: SystemTime) -> u64 {
    time.duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

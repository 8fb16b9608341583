//! Idempotency keys of the form `<unix seconds>-<random>`, and the buckets that
//! they belong to.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use chervil_base::digest::stable_hash;
use snafu::OptionExt as _;
use snafu::Snafu;
use snafu::ensure;

/// Maximum age of an accepted key.
pub const RETENTION: Duration = Duration::from_secs(3_600);

/// Maximum distance of a key's time into the future.
pub const MAX_AHEAD: Duration = Duration::from_secs(60);

/// Range of key times that one bucket covers.
pub const BUCKET_SPAN: Duration = Duration::from_secs(3_600);

/// Number of buckets over which the keys of one hour are spread.
///
/// Not a setting, because all hosts must use the same value. More buckets hold
/// more claims; fewer buckets need fewer writes for the same claims.
pub const BUCKETS_PER_HOUR: u64 = 128;

/// Prefix of the store keys of buckets.
pub const BUCKET_PREFIX: &str = "claim/";

/// Maximum length of the random part of a key, in characters.
const MAX_RANDOM_LEN: usize = 64;

/// Why a key is refused; the text is returned to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum KeyError {
    /// The key is not of the form `<unix seconds>-<random>`.
    #[snafu(display(
        "the idempotency key is malformed; write <unix seconds>-<random> with 1 to 64 letters, \
         digits, '-' or '_' as the random part"
    ))]
    Malformed,
    /// The key is older than [`RETENTION`].
    #[snafu(display(
        "the idempotency key is {age_s} s old and claims are kept for 3600 s; find out whether \
         the work was done before you send it with a new key"
    ))]
    Expired {
        /// Age in seconds.
        age_s: u64,
    },
    /// The time of the key is more than [`MAX_AHEAD`] in the future.
    #[snafu(display("the idempotency key is {ahead_s} s in the future; set the caller's clock"))]
    Future {
        /// Distance into the future, in seconds.
        ahead_s: u64,
    },
}

/// Time that a key carries; fails if the key is malformed.
pub fn key_time(key: &str) -> Result<SystemTime, KeyError> {
    let (seconds, random) = key.split_once('-').context(MalformedSnafu)?;
    let allowed = |c: u8| c.is_ascii_alphanumeric() || c == b'-' || c == b'_';
    ensure!((1..=MAX_RANDOM_LEN).contains(&random.len()), MalformedSnafu);
    ensure!(random.bytes().all(allowed), MalformedSnafu);
    // Leading zeros or a sign would allow two spellings of one time.
    ensure!(seconds.bytes().all(|c| c.is_ascii_digit()), MalformedSnafu);
    ensure!(!seconds.starts_with('0') && seconds.len() <= 11, MalformedSnafu);
    let seconds = seconds.parse().ok().context(MalformedSnafu)?;
    Ok(UNIX_EPOCH + Duration::from_secs(seconds))
}

/// Refuses a key that is malformed, expired or too far in the future at `wall_time`.
pub fn validate(key: &str, wall_time: SystemTime) -> Result<(), KeyError> {
    let time = key_time(key)?;
    if let Ok(ahead) = time.duration_since(wall_time) {
        ensure!(ahead <= MAX_AHEAD, FutureSnafu { ahead_s: ahead.as_secs() });
    }
    if let Ok(age) = wall_time.duration_since(time) {
        ensure!(age <= RETENTION, ExpiredSnafu { age_s: age.as_secs() });
    }
    Ok(())
}

/// Store key of the bucket that an idempotency key belongs to.
pub fn bucket_of(key: &str) -> Result<Box<str>, KeyError> {
    let hour = unix_ms(key_time(key)?) / BUCKET_SPAN.as_millis() as u64;
    Ok(format!("{BUCKET_PREFIX}{hour}/{}", stable_hash(key) % BUCKETS_PER_HOUR).into())
}

/// End of the range of key times that a bucket covers; `None` if `bucket` is not
/// the store key of a bucket.
pub fn bucket_end(bucket: &str) -> Option<SystemTime> {
    let hour: u32 = bucket.strip_prefix(BUCKET_PREFIX)?.split('/').next()?.parse().ok()?;
    Some(UNIX_EPOCH + BUCKET_SPAN * hour.checked_add(1)?)
}

/// Milliseconds since the Unix epoch; 0 for earlier times.
pub fn unix_ms(time: SystemTime) -> u64 {
    time.duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

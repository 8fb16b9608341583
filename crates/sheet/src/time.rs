//! Export time of a sheet: a UTC timestamp in whole seconds.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use snafu::OptionExt as _;
use snafu::Snafu;

const SECS_PER_DAY: u64 = 86_400;
const FIRST_YEAR: u64 = 1970;
const LAST_YEAR: u64 = 9999;

/// Time at which a sheet was exported. Its text form, also in JSON, is
/// `2026-12-04T06:00:00Z`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
pub struct ExportTime {
    /// Seconds since 1970-01-01T00:00:00Z.
    seconds: u64,
}

/// Error of parsing an [`ExportTime`].
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(display(
    "{text:?} is not an export time; write it in UTC to the second, such as 2026-12-04T06:00:00Z"
))]
pub struct ExportTimeError {
    text: Box<str>,
}

impl ExportTime {
    /// Creates a time from seconds since 1970-01-01T00:00:00Z.
    pub fn from_unix_secs(seconds: u64) -> ExportTime {
        ExportTime { seconds }
    }

    /// Seconds since 1970-01-01T00:00:00Z.
    pub fn unix_secs(self) -> u64 {
        self.seconds
    }
}

impl FromStr for ExportTime {
    type Err = ExportTimeError;

    fn from_str(text: &str) -> Result<ExportTime, ExportTimeError> {
        parse(text).map(ExportTime::from_unix_secs).context(ExportTimeSnafu { text })
    }
}

fn parse(text: &str) -> Option<u64> {
    const PATTERN: &[u8; 20] = b"0000-00-00T00:00:00Z";
    // A 0 stands for any digit.
    let matches = |(c, p): (u8, &u8)| if *p == b'0' { c.is_ascii_digit() } else { c == *p };
    if text.len() != PATTERN.len() || !text.bytes().zip(PATTERN).all(matches) {
        return None;
    }
    let number = |from: usize, to: usize| text[from..to].parse::<u64>().ok();
    let (year, month, day) = (number(0, 4)?, number(5, 7)?, number(8, 10)?);
    let (hour, minute, second) = (number(11, 13)?, number(14, 16)?, number(17, 19)?);
    let valid_month = year >= FIRST_YEAR && (1..=12).contains(&month);
    if !valid_month || !(1..=days_in_month(year, month)).contains(&day) {
        return None;
    }
    if hour > 23 || minute > 59 || second > 59 {
        return None;
    }
    let years: u64 = (FIRST_YEAR..year).map(days_in_year).sum();
    let months: u64 = (1..month).map(|m| days_in_month(year, m)).sum();
    Some((years + months + day - 1) * SECS_PER_DAY + hour * 3600 + minute * 60 + second)
}

fn is_leap(year: u64) -> bool {
    year.is_multiple_of(4) && (!year.is_multiple_of(100) || year.is_multiple_of(400))
}

fn days_in_year(year: u64) -> u64 {
    365 + u64::from(is_leap(year))
}

fn days_in_month(year: u64, month: u64) -> u64 {
    match month {
        2 => 28 + u64::from(is_leap(year)),
        4 | 6 | 9 | 11 => 30,
        _ => 31,
    }
}

impl fmt::Display for ExportTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut days = self.seconds / SECS_PER_DAY;
        let mut year = FIRST_YEAR;
        while year < LAST_YEAR && days >= days_in_year(year) {
            days -= days_in_year(year);
            year += 1;
        }
        let mut month = 1;
        while month < 12 && days >= days_in_month(year, month) {
            days -= days_in_month(year, month);
            month += 1;
        }
        let s = self.seconds % SECS_PER_DAY;
        let (hour, minute, second) = (s / 3600, s / 60 % 60, s % 60);
        let day = days + 1;
        write!(f, "{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
    }
}

impl TryFrom<Box<str>> for ExportTime {
    type Error = ExportTimeError;

    fn try_from(text: Box<str>) -> Result<ExportTime, ExportTimeError> {
        text.parse()
    }
}

impl From<ExportTime> for Box<str> {
    fn from(time: ExportTime) -> Box<str> {
        time.to_string().into()
    }
}

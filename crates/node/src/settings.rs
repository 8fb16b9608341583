//! Settings files in TOML format.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt as _;
use snafu::Snafu;

/// The `[node]` section, which the settings of all server binaries have.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of the host, unique among hosts.
    pub host: Box<str>,
    /// Availability zone of the host.
    pub zone: Box<str>,
    /// Address that the admin endpoints listen on.
    pub admin: SocketAddr,
    /// Least severe level that is logged; `info` by default.
    #[serde(default = "default_level")]
    pub log_level: Box<str>,
    /// Address of a statsd server; `None` disables metrics.
    pub statsd: Option<SocketAddr>,
    /// URL of an OTLP trace collector; `None` disables traces.
    pub otlp: Option<Box<str>>,
}

fn default_level() -> Box<str> {
    "info".into()
}

/// Error of loading a settings file.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("cannot read {}: {source}; check the path and its permissions", path.display()))]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The value of a key cannot be used.
    #[snafu(display("{}: {key} {problem}", path.display()))]
    Value {
        /// Path of the file.
        path: PathBuf,
        /// Name of the key, with its section.
        key: &'static str,
        /// What is wrong, and what to set instead.
        problem: Box<str>,
    },
    /// The file is not valid TOML, or a key is missing, unknown or has a wrong
    /// value. The parser's message contains line and column and shows the line.
    #[snafu(display("{} is not a valid settings file: {source}correct the marked line", path.display()))]
    Parse {
        /// Path of the file.
        path: PathBuf,
        /// Error of the TOML parser.
        #[snafu(source(from(toml::de::Error, Box::new)))]
        source: Box<toml::de::Error>,
    },
}

/// Reads a settings file. Whether unknown keys are an error is up to `T`; see
/// `serde(deny_unknown_fields)`.
pub fn load<T>(path: &Path) -> Result<T, SettingsError>
where
    T: DeserializeOwned,
{
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    let parsed = toml::from_str(&text).map_err(|mut error: toml::de::Error| {
        error.set_input(Some(&redact_secret(&text)));
        error
    });
    parsed.context(ParseSnafu { path })
}

/// Replaces the value of `secret` with asterisks, because parser errors quote the
/// line that they refer to. The layout of the text is kept, so that line and
/// column numbers stay valid.
fn redact_secret(text: &str) -> String {
    let mut redacted = String::with_capacity(text.len());
    for line in text.split_inclusive('\n') {
        match line.split_once('=') {
            Some((key, value)) if key.trim() == "secret" => {
                redacted.push_str(key);
                redacted.push('=');
                let mask = |b: u8| if b.is_ascii_whitespace() { char::from(b) } else { '*' };
                redacted.extend(value.bytes().map(mask));
            }
            _ => redacted.push_str(line),
        }
    }
    redacted
}

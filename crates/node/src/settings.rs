//! Settings files in TOML.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt as _;
use snafu::Snafu;

/// Settings that all server binaries share, under `[node]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of the host, unique among hosts.
    pub host: Box<str>,
    /// Availability zone that the host stands in.
    pub zone: Box<str>,
    /// Address of the admin endpoints.
    pub admin: SocketAddr,
    /// Least severe level that is logged.
    #[serde(default = "default_level")]
    pub log_level: Box<str>,
    /// Address of a statsd server.
    pub statsd: Option<SocketAddr>,
    /// URL of an OTLP trace collector.
    pub otlp: Option<Box<str>>,
}

fn default_level() -> Box<str> {
    "info".into()
}

/// Why settings cannot be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("cannot read {}: {source}; check the path and its permissions", path.display()))]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The file is not valid. The message of the parser has line and column.
    #[snafu(display("{} is not a valid settings file: {source}correct the marked line", path.display()))]
    Parse {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        #[snafu(source(from(toml::de::Error, Box::new)))]
        source: Box<toml::de::Error>,
    },
}

/// Reads a settings file; unknown keys are refused by the type `T`.
pub fn load<T>(path: &Path) -> Result<T, SettingsError>
where
    T: DeserializeOwned,
{
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    let parsed = toml::from_str(&text).map_err(|mut error: toml::de::Error| {
        error.set_input(Some(&redacted(&text)));
        error
    });
    parsed.context(ParseSnafu { path })
}

/// Text of the same layout without the secret: messages of the parser show the
/// line that they are about.
fn redacted(text: &str) -> String {
    let mut result = String::with_capacity(text.len());
    for line in text.split_inclusive('\n') {
        match line.split_once('=') {
            Some((key, value)) if key.trim() == "secret" => {
                result.push_str(key);
                result.push('=');
                let hidden = |b: u8| if b.is_ascii_whitespace() { char::from(b) } else { '*' };
                result.extend(value.bytes().map(hidden));
            }
            _ => result.push_str(line),
        }
    }
    result
}

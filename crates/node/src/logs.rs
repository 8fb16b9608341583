//! Structured logs, one JSON object a line on standard error.

use std::sync::Arc;

use snafu::OptionExt as _;
use snafu::ResultExt as _;
use snafu::Snafu;
use spdlog::Level;
use spdlog::LevelFilter;
use spdlog::Logger;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::StdStreamSink;

/// Why logs cannot be set up.
#[derive(Debug, Snafu)]
pub enum LogError {
    /// The level is not known.
    #[snafu(display(
        "log_level {level:?} is unknown; use critical, error, warn, info, debug or trace"
    ))]
    Level {
        /// Level given.
        level: Box<str>,
    },
    /// The logger cannot be built.
    #[snafu(display("cannot set up logs: {source}; check that standard error is open"))]
    Build {
        /// Cause.
        source: spdlog::Error,
    },
}

/// Sets up the default logger of the process.
pub fn init(level: &str) -> Result<(), LogError> {
    let parsed = level.parse::<Level>().ok().context(LevelSnafu { level })?;
    let sink = StdStreamSink::builder()
        .stderr()
        .formatter(JsonFormatter::new())
        .build_arc()
        .context(BuildSnafu)?;
    let mut builder = Logger::builder();
    builder.sink(sink).level_filter(LevelFilter::MoreSevereEqual(parsed));
    builder.flush_level_filter(LevelFilter::MoreSevereEqual(Level::Info));
    spdlog::set_default_logger(Arc::new(builder.build().context(BuildSnafu)?));
    Ok(())
}

//! Structured logs, one JSON object a line.

use std::sync::Arc;

use snafu::OptionExt as _;
use snafu::ResultExt as _;
use snafu::Snafu;
use spdlog::Level;
use spdlog::LevelFilter;
use spdlog::Logger;
use spdlog::ThreadPool;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::AsyncPoolSink;
use spdlog::sink::OverflowPolicy;
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

/// Lines that may wait to be written; more are dropped.
const QUEUE_LINES: usize = 4_096;

/// Sets up the default logger of the process on standard output. A thread of
/// its own writes, so that a full pipe blocks no request.
pub fn init_output(level: &str) -> Result<(), LogError> {
    let parsed = level.parse::<Level>().ok().context(LevelSnafu { level })?;
    let output = StdStreamSink::builder()
        .stdout()
        .formatter(JsonFormatter::new())
        .build_arc()
        .context(BuildSnafu)?;
    let capacity = std::num::NonZeroUsize::new(QUEUE_LINES).unwrap_or(std::num::NonZeroUsize::MIN);
    let pool = ThreadPool::builder().capacity(capacity).build_arc().context(BuildSnafu)?;
    let sink = AsyncPoolSink::builder()
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .sink(output)
        .build_arc()
        .context(BuildSnafu)?;
    let mut builder = Logger::builder();
    builder.sink(sink).level_filter(LevelFilter::MoreSevereEqual(parsed));
    builder.flush_level_filter(LevelFilter::MoreSevereEqual(Level::Info));
    spdlog::set_default_logger(Arc::new(builder.build().context(BuildSnafu)?));
    Ok(())
}

/// Sets up the default logger of the process on standard error.
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

//! Structured logs: one JSON object per line.

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

/// Error of setting up the default logger.
#[derive(Debug, Snafu)]
pub enum LogError {
    /// The level name is unknown.
    #[snafu(display(
        "unknown log level {level:?}; use critical, error, warn, info, debug or trace"
    ))]
    Level {
        /// Level name from the settings or the command line.
        level: Box<str>,
    },
    /// The logger cannot be built.
    #[snafu(display(
        "cannot set up the logger: {source}; check that standard output and standard error are open"
    ))]
    Build {
        /// Error of the logging library.
        source: spdlog::Error,
    },
}

/// Log lines that can wait for the writer thread; further lines are dropped.
const QUEUE_CAPACITY: usize = 4_096;

/// Sets up the process-wide logger to write to standard output.
///
/// A dedicated thread writes the lines, so that a full pipe does not block
/// request handling. Lines are dropped while its queue is full.
pub fn init_stdout(level: &str) -> Result<(), LogError> {
    let parsed = level.parse::<Level>().ok().context(LevelSnafu { level })?;
    let stdout = StdStreamSink::builder()
        .stdout()
        .formatter(JsonFormatter::new())
        .build_arc()
        .context(BuildSnafu)?;
    let capacity =
        std::num::NonZeroUsize::new(QUEUE_CAPACITY).unwrap_or(std::num::NonZeroUsize::MIN);
    let pool = ThreadPool::builder().capacity(capacity).build_arc().context(BuildSnafu)?;
    let sink = AsyncPoolSink::builder()
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .sink(stdout)
        .build_arc()
        .context(BuildSnafu)?;
    let mut builder = Logger::builder();
    builder.sink(sink).level_filter(LevelFilter::MoreSevereEqual(parsed));
    builder.flush_level_filter(LevelFilter::MoreSevereEqual(Level::Info));
    spdlog::set_default_logger(Arc::new(builder.build().context(BuildSnafu)?));
    Ok(())
}

/// Sets up the process-wide logger to write to standard error. Lines are
/// written by the thread that logs them.
pub fn init_stderr(level: &str) -> Result<(), LogError> {
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

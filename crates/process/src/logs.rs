//! Logger setup: structured logs on standard error.

use std::sync::Arc;

use derive_more::Display;
use derive_more::FromStr;
use serde::Deserialize;
use spdlog::LevelFilter;
use spdlog::Logger;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::StdStreamSink;

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogForm {
    /// One line of text with key-value pairs.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Lowest severity that is logged.
#[derive(Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// Warnings and above.
    Warn,
    /// Informational messages and above.
    #[default]
    Info,
    /// Debug messages and above.
    Debug,
}

impl LogLevel {
    fn filter(self) -> LevelFilter {
        match self {
            LogLevel::Error => LevelFilter::MoreSevereEqual(spdlog::Level::Error),
            LogLevel::Warn => LevelFilter::MoreSevereEqual(spdlog::Level::Warn),
            LogLevel::Info => LevelFilter::MoreSevereEqual(spdlog::Level::Info),
            LogLevel::Debug => LevelFilter::MoreSevereEqual(spdlog::Level::Debug),
        }
    }
}

/// Installs the default logger of this process.
///
/// # Errors
///
/// Fails if the logger cannot be built.
pub fn init(form: LogForm, level: LogLevel) -> spdlog::Result<()> {
    let mut sink = StdStreamSink::builder().stderr();
    if form == LogForm::Json {
        sink = sink.formatter(JsonFormatter::new());
    }
    let logger = Logger::builder()
        .sink(sink.build_arc()?)
        .level_filter(level.filter())
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

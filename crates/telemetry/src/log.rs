//! Logger initialisation.
//!
//! Lines go to a standard stream, since the VMs have no disks and the platform
//! collects these streams. Libraries log at level `warn` and above only, since
//! `tarpc` logs each call at a lower level.

use anyhow::anyhow;
use chestnutreach_config::settings::{LogFormat, LogLevel};
use logforth::{
    filter::env_filter::{EnvFilter, EnvFilterBuilder},
    layout::{JsonLayout, TextLayout},
    record::{Level, LevelFilter},
};

use crate::{
    event::TARGET,
    line_buffer::{BufferAppender, LineBuffer},
};

/// Initialises the logger to write to standard error.
///
/// # Errors
///
/// The logger of this process is already initialised.
pub fn init(format: LogFormat, level: LogLevel) -> Result<(), anyhow::Error> {
    let starter = logforth::starter_log::stderr().filter(filter(level));
    let starter = match format {
        LogFormat::Text => starter.layout(TextLayout::default().no_color()),
        LogFormat::Json => starter.layout(JsonLayout::default()),
    };
    starter
        .try_apply()
        .map_err(|e| anyhow!("could not initialise the logger: {e}"))?;
    // The `log` macros skip less severe records before they are formatted.
    log::set_max_level(max_level_filter(level));
    Ok(())
}

/// Initialises the logger to write JSON lines to standard output through a
/// bounded buffer, so that logging never blocks.
///
/// # Errors
///
/// The logger of this process is already initialised, or the writer thread
/// could not be spawned.
pub fn init_buffered(level: LogLevel) -> Result<LineBuffer, anyhow::Error> {
    let buffer = LineBuffer::new();
    let append = BufferAppender::new(buffer.clone());
    logforth::starter_log::builder()
        .dispatch(|d| d.filter(filter(level)).append(append))
        .try_apply()
        .map_err(|e| anyhow!("could not initialise the logger: {e}"))?;
    log::set_max_level(max_level_filter(level));
    buffer.start_writer()?;
    Ok(buffer)
}

fn filter(level: LogLevel) -> EnvFilter {
    EnvFilterBuilder::default()
        .filter_level(LevelFilter::MoreSevereEqual(library_level(level)))
        .filter_module(
            TARGET,
            LevelFilter::MoreSevereEqual(event_level(level)),
        )
        .build()
}

fn event_level(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}

fn library_level(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn | LogLevel::Info | LogLevel::Debug => Level::Warn,
    }
}

fn max_level_filter(level: LogLevel) -> log::LevelFilter {
    match level {
        LogLevel::Error => log::LevelFilter::Error,
        LogLevel::Warn => log::LevelFilter::Warn,
        LogLevel::Info => log::LevelFilter::Info,
        LogLevel::Debug => log::LevelFilter::Debug,
    }
}

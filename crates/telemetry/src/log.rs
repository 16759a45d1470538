//! Setting up the logs of a process.
//!
//! Lines go to a standard stream: the VMs have no disks, and the platform
//! collects those streams. Libraries are written only from warnings
//! on, since `tarpc` tells of each call at a lower level.

use anyhow::anyhow;
use chestnutreach_config::settings::{LogFormat, LogLevel};
use logforth::{
    filter::env_filter::{EnvFilter, EnvFilterBuilder},
    layout::{JsonLayout, TextLayout},
    record::{Level, LevelFilter},
};

use crate::{
    event::TARGET,
    line_buffer::{BufferAppend, LineBuffer},
};

/// Sends what is logged from now on to the standard error stream.
///
/// # Errors
///
/// The logs of this process were set up before.
pub fn init(format: LogFormat, level: LogLevel) -> Result<(), anyhow::Error> {
    let starter = logforth::starter_log::stderr().filter(filter(level));
    let starter = match format {
        LogFormat::Text => starter.layout(TextLayout::default().no_color()),
        LogFormat::Json => starter.layout(JsonLayout::default()),
    };
    starter
        .try_apply()
        .map_err(|e| anyhow!("the logs could not be set up: {e}"))?;
    // Below this level nothing is even formatted.
    log::set_max_level(facade_level(level));
    Ok(())
}

/// Sends what is logged from now on to the standard output stream as JSON
/// lines, through a bounded buffer that never blocks.
///
/// # Errors
///
/// The logs of this process were set up before, or there is no thread left.
pub fn init_buffered(level: LogLevel) -> Result<LineBuffer, anyhow::Error> {
    let buffer = LineBuffer::new();
    let append = BufferAppend::new(buffer.clone());
    logforth::starter_log::builder()
        .dispatch(|d| d.filter(filter(level)).append(append))
        .try_apply()
        .map_err(|e| anyhow!("the logs could not be set up: {e}"))?;
    log::set_max_level(facade_level(level));
    buffer.start_writer()?;
    Ok(buffer)
}

fn filter(level: LogLevel) -> EnvFilter {
    EnvFilterBuilder::default()
        .filter_level(LevelFilter::MoreSevereEqual(library_level(level)))
        .filter_module(TARGET, LevelFilter::MoreSevereEqual(own_level(level)))
        .build()
}

fn own_level(level: LogLevel) -> Level {
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

fn facade_level(level: LogLevel) -> log::LevelFilter {
    match level {
        LogLevel::Error => log::LevelFilter::Error,
        LogLevel::Warn => log::LevelFilter::Warn,
        LogLevel::Info => log::LevelFilter::Info,
        LogLevel::Debug => log::LevelFilter::Debug,
    }
}

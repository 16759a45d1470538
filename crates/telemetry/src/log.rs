//! Setting up the logs of a process.
//!
//! Lines go to the standard error stream: the VMs have no disks, and the
//! platform collects that stream. Libraries are written only from warnings
//! on, since `tarpc` tells of each call at a lower level.

use anyhow::anyhow;
use chestnutreach_config::settings::{LogFormat, LogLevel};
use logforth::{
    filter::env_filter::EnvFilterBuilder,
    layout::{JsonLayout, TextLayout},
    record::{Level, LevelFilter},
};

use crate::event::TARGET;

/// Sends what is logged from now on to the standard error stream.
///
/// # Errors
///
/// The logs of this process were set up before.
pub fn init(format: LogFormat, level: LogLevel) -> Result<(), anyhow::Error> {
    let filter = EnvFilterBuilder::default()
        .filter_level(LevelFilter::MoreSevereEqual(library_level(level)))
        .filter_module(TARGET, LevelFilter::MoreSevereEqual(own_level(level)))
        .build();
    let starter = logforth::starter_log::stderr().filter(filter);
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

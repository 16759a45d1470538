//! An entry on the users' platform.
//!
//! All tasks run on one thread: a VM of this platform has a fifth of a core,
//! where a second thread only adds wake-ups. A prototype entry that refused
//! 3,970 requests used 0.0025 cores with one thread and 0.0042 with two.

use std::{
    env, fs,
    path::{Path, PathBuf},
    process::ExitCode,
    sync::Arc,
    time::Duration,
};

use async_executor::Executor;
use async_io::Timer;
use async_signal::{Signal, Signals};
use chestnutreach_adapter::settings::{PATH_VARIABLE, try_parse};
use chestnutreach_config::settings::LogLevel;
use chestnutreach_direct::DirectEntry;
use chestnutreach_site::{Finding, NodeSettings};
use chestnutreach_telemetry::{Event, emit};
use futures_lite::StreamExt as _;

use crate::{EXIT_ABORTED, EXIT_FAILED, EXIT_INVALID_SETTINGS};

/// Interval at which the settings file is checked: the platform may change the
/// file without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Runs an entry until a signal stops the process.
pub(crate) fn main(is_check: bool, metrics_port: Option<u16>) -> ExitCode {
    let (path, settings) = match load() {
        Ok(loaded) => loaded,
        Err(message) => {
            eprintln!("{message}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if is_check {
        println!("{}: no findings", path.display());
        return ExitCode::SUCCESS;
    }
    match run(&path, settings, metrics_port) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(EXIT_ABORTED),
        Err(e) => {
            eprintln!("chestnutreachd: {e:#}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn load() -> Result<(PathBuf, NodeSettings), String> {
    let path = env::var_os(PATH_VARIABLE)
        .map(PathBuf::from)
        .ok_or_else(|| format!("{PATH_VARIABLE} is not set"))?;
    let settings = read_settings(&path).map_err(|findings| {
        let lines: Vec<String> = findings
            .iter()
            .map(|f| format!("{}: {} {}", path.display(), f.place, f.message))
            .collect();
        lines.join("\n")
    })?;
    Ok((path, settings))
}

fn read_settings(path: &Path) -> Result<NodeSettings, Vec<Finding>> {
    let text = fs::read_to_string(path).map_err(|e| {
        vec![Finding { place: "file".to_owned(), message: e.to_string() }]
    })?;
    try_parse(&text)
}

fn run(
    path: &Path,
    settings: NodeSettings,
    metrics_port: Option<u16>,
) -> anyhow::Result<usize> {
    let log_buffer =
        chestnutreach_telemetry::log::init_buffered(LogLevel::Info)?;
    let executor = Arc::new(Executor::new());
    let entry =
        DirectEntry::start(settings.clone(), metrics_port, executor.clone())?;
    let watch = watch_settings(path.to_owned(), settings);
    executor.spawn(watch).detach();
    let path = path.to_owned();
    let stop = async move {
        let cause = stop_signal(&path).await?;
        anyhow::Ok(entry.stop(cause).await)
    };
    // In the main future, each wake-up of this thread would poll for signals;
    // a task is polled only when woken.
    let stop = executor.spawn(stop);
    let aborted = async_io::block_on(executor.run(stop))?;
    log_buffer.flush();
    Ok(aborted)
}

/// Waits for SIGTERM or SIGINT and returns its name; SIGHUP reads the settings
/// file again.
async fn stop_signal(path: &Path) -> anyhow::Result<&'static str> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    loop {
        match signals.next().await {
            Some(Ok(Signal::Term)) => return Ok("SIGTERM"),
            Some(Ok(Signal::Int)) => return Ok("SIGINT"),
            Some(Ok(_)) => log_reloaded("SIGHUP", &read_settings(path)),
            Some(Err(e)) => return Err(e.into()),
            None => anyhow::bail!("the stream of signals has ended"),
        }
    }
}

/// Checks a changed settings file and logs the findings. A change takes effect
/// at the next start: all settings are fixed for the lifetime of a process
/// except the seeds, which are unused because entries find each other in the
/// store.
async fn watch_settings(path: PathBuf, mut known: NodeSettings) {
    loop {
        Timer::after(SETTINGS_POLL_INTERVAL).await;
        let settings = read_settings(&path);
        match &settings {
            Ok(new) if *new == known => {}
            Ok(new) => {
                log_reloaded("changed", &settings);
                known = new.clone();
            }
            Err(_) => log_reloaded("changed", &settings),
        }
    }
}

fn log_reloaded(
    cause: &'static str,
    settings: &Result<NodeSettings, Vec<Finding>>,
) {
    let findings: Vec<String> = match settings {
        Ok(_) => Vec::new(),
        Err(findings) => findings
            .iter()
            .map(|f| format!("{} {}", f.place, f.message))
            .collect(),
    };
    emit(
        Event::SettingsReloaded,
        &[("cause", &cause), ("findings", &findings.join("; "))],
    );
}

//! An entry on the users' platform.
//!
//! All its tasks run on one thread: its VMs have a fifth of a core, where a
//! second thread only adds wake-ups (a throw-away entry that refused 3,970
//! requests used 0.0025 cores with one thread and 0.0042 with two).

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

use crate::{EXIT_CUT, EXIT_FAILED, EXIT_SETTINGS};

/// Time between looks at the settings file, which may change unannounced.
const LOOK_AT_FILE: Duration = Duration::from_secs(2);

/// Runs an entry until it is told to stop.
pub(crate) fn main(is_check: bool, metrics_port: Option<u16>) -> ExitCode {
    let (path, settings) = match load() {
        Ok(loaded) => loaded,
        Err(message) => {
            eprintln!("{message}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if is_check {
        println!("{}: no findings", path.display());
        return ExitCode::SUCCESS;
    }
    match run(&path, settings, metrics_port) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(EXIT_CUT),
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
    let settings = read(&path).map_err(|findings| {
        let lines: Vec<String> = findings
            .iter()
            .map(|f| format!("{}: {} {}", path.display(), f.place, f.message))
            .collect();
        lines.join("\n")
    })?;
    Ok((path, settings))
}

fn read(path: &Path) -> Result<NodeSettings, Vec<Finding>> {
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
    let lines = chestnutreach_telemetry::log::init_buffered(LogLevel::Info)?;
    let executor = Arc::new(Executor::new());
    let entry =
        DirectEntry::start(settings.clone(), metrics_port, executor.clone())?;
    let follow = follow_file(path.to_owned(), settings);
    executor.spawn(follow).detach();
    let path = path.to_owned();
    let stop = async move {
        let cause = stop_signal(&path).await?;
        anyhow::Ok(entry.stop(cause).await)
    };
    // A task of its own: else each wake of this thread would look for
    // signals.
    let stop = executor.spawn(stop);
    let cut = async_io::block_on(executor.run(stop))?;
    lines.flush();
    Ok(cut)
}

/// Waits for the signal to stop; a hang-up has the settings read again.
async fn stop_signal(path: &Path) -> anyhow::Result<&'static str> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    loop {
        match signals.next().await {
            Some(Ok(Signal::Term)) => return Ok("SIGTERM"),
            Some(Ok(Signal::Int)) => return Ok("SIGINT"),
            Some(Ok(_)) => note_reloaded("SIGHUP", &read(path)),
            Some(Err(e)) => return Err(e.into()),
            None => anyhow::bail!("the signals have ended"),
        }
    }
}

/// Notices a changed settings file. What it holds is fixed for the life of a
/// process but for the seeds, which are not used: entries find each other in
/// the store. So a change is checked and told, and takes effect at a start.
async fn follow_file(path: PathBuf, mut known: NodeSettings) {
    loop {
        Timer::after(LOOK_AT_FILE).await;
        let settings = read(&path);
        match &settings {
            Ok(new) if *new == known => {}
            Ok(new) => {
                note_reloaded("changed", &settings);
                known = new.clone();
            }
            Err(_) => note_reloaded("changed", &settings),
        }
    }
}

fn note_reloaded(
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

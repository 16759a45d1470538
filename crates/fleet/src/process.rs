//! One process of a fleet.

use std::{
    fs::File,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    thread,
    time::{Duration, Instant},
};

use anyhow::{Context as _, bail};
use rustix::process::{Pid, Signal, kill_process};

/// Time between two looks at a process.
const LOOK: Duration = Duration::from_millis(5);

/// A process that can be ended, frozen and started again.
#[derive(Debug)]
pub struct Process {
    name: String,
    program: PathBuf,
    arguments: Vec<String>,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Starts a process; its output goes to `log`.
    ///
    /// # Errors
    ///
    /// The program cannot be started.
    pub fn start(
        name: &str,
        program: &Path,
        arguments: &[String],
        log: &Path,
    ) -> anyhow::Result<Process> {
        let mut process = Process {
            name: name.to_owned(),
            program: program.to_owned(),
            arguments: arguments.to_vec(),
            log: log.to_owned(),
            child: None,
        };
        process.restart()?;
        Ok(process)
    }

    /// Starts the process again after it has ended.
    ///
    /// # Errors
    ///
    /// The program cannot be started.
    pub fn restart(&mut self) -> anyhow::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .args(&self.arguments)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .with_context(|| {
                format!(
                    "cannot start {} ({}); has the whole workspace been \
                     built?",
                    self.name,
                    self.program.display()
                )
            })?;
        self.child = Some(child);
        Ok(())
    }

    /// Its name in the fleet.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Its number in the system; none while it does not run.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// What it has written.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Whether it has been started and its end not been waited for.
    pub fn has_started(&self) -> bool {
        self.child.is_some()
    }

    /// Whether it runs.
    pub fn is_running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Ends it at once, as a lost VM would.
    pub fn kill(&mut self) {
        self.send(Signal::KILL);
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }

    /// Has it stand still.
    pub fn freeze(&self) {
        self.send(Signal::STOP);
    }

    /// Has it go on.
    pub fn thaw(&self) {
        self.send(Signal::CONT);
    }

    /// Asks it to stop.
    pub fn terminate(&self) {
        self.send(Signal::TERM);
    }

    /// Waits for its end.
    ///
    /// # Errors
    ///
    /// It has not ended within the limit.
    pub fn wait(&mut self, limit: Duration) -> anyhow::Result<ExitStatus> {
        let Some(child) = &mut self.child else {
            bail!("{} does not run", self.name);
        };
        let started = Instant::now();
        loop {
            if let Some(status) = child.try_wait()? {
                self.child = None;
                return Ok(status);
            }
            if started.elapsed() > limit {
                bail!("{} has not ended within {limit:?}", self.name);
            }
            thread::sleep(LOOK);
        }
    }

    fn send(&self, signal: Signal) {
        let pid = self.child.as_ref().map(Pid::from_child);
        if let Some(pid) = pid {
            // A process that has ended already wants no signal.
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

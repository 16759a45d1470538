//! A process of a fleet.

use std::{
    fs::File,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    thread,
    time::{Duration, Instant},
};

use anyhow::{Context as _, bail};
use rustix::process::{Pid, Signal, kill_process};

/// Interval at which a wait polls the process.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A process that can be killed, frozen and restarted. Dropping kills it.
#[derive(Debug)]
pub struct Process {
    name: String,
    program: PathBuf,
    arguments: Vec<String>,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Starts a process that appends its output to the file `log`.
    ///
    /// # Errors
    ///
    /// Returns an error if the program can't be started.
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

    /// Restarts the process after its exit.
    ///
    /// # Errors
    ///
    /// Returns an error if the program can't be started.
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
                    "can't start {} ({}); has the whole workspace been \
                     built?",
                    self.name,
                    self.program.display()
                )
            })?;
        self.child = Some(child);
        Ok(())
    }

    /// Name of the process in the fleet.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Process ID; none before the start and after the exit was awaited.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Output of the process so far.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Whether the process was started and its exit hasn't been awaited.
    pub fn has_started(&self) -> bool {
        self.child.is_some()
    }

    /// Whether the process is running.
    pub fn is_running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Kills the process with SIGKILL, as the loss of its VM would.
    pub fn kill(&mut self) {
        self.send(Signal::KILL);
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }

    /// Stops execution of the process with SIGSTOP.
    pub fn freeze(&self) {
        self.send(Signal::STOP);
    }

    /// Continues execution of the process with SIGCONT.
    pub fn thaw(&self) {
        self.send(Signal::CONT);
    }

    /// Requests a graceful stop with SIGTERM.
    pub fn terminate(&self) {
        self.send(Signal::TERM);
    }

    /// Waits for the exit of the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the process isn't running or doesn't exit within
    /// the timeout.
    pub fn wait(&mut self, timeout: Duration) -> anyhow::Result<ExitStatus> {
        let Some(child) = &mut self.child else {
            bail!("{} is not running", self.name);
        };
        let started = Instant::now();
        loop {
            if let Some(status) = child.try_wait()? {
                self.child = None;
                return Ok(status);
            }
            if started.elapsed() > timeout {
                bail!("{} did not exit within {timeout:?}", self.name);
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn send(&self, signal: Signal) {
        let pid = self.child.as_ref().map(Pid::from_child);
        if let Some(pid) = pid {
            // The signal fails if the process has exited already.
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

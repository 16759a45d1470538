//! A process that ends what the driver of a script has started, however the
//! driver ends. It reads from a pipe that closes with the driver.

use std::{
    collections::BTreeSet,
    env, fs,
    io::{self, Write as _},
    os::unix::process::CommandExt as _,
    path::Path,
    process::{ChildStdin, Command, Stdio},
    sync::{Arc, Mutex},
};

/// The driver's end of the pipe; clones share it.
#[derive(Clone)]
pub struct Guard {
    pipe: Arc<Mutex<ChildStdin>>,
}

impl Guard {
    /// Starts the guard in a process group of its own, so that what ends the
    /// group of the script leaves it.
    pub fn start() -> io::Result<Guard> {
        let mut child = Command::new(env::current_exe()?)
            .args(["guard", "-"])
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .process_group(0)
            .spawn()?;
        let pipe = child.stdin.take().expect("it is piped");
        Ok(Guard { pipe: Arc::new(Mutex::new(pipe)) })
    }

    fn tell(&self, line: &str) {
        let _ = writeln!(self.pipe.lock().unwrap(), "{line}");
    }

    /// A process was started.
    pub fn started(&self, id: u32) {
        self.tell(&format!("started {id}"));
    }

    /// A process has ended and was waited for.
    pub fn ended(&self, id: u32) {
        self.tell(&format!("ended {id}"));
    }

    /// A temporary folder was made.
    pub fn folder(&self, path: &Path) {
        self.tell(&format!("folder {}", path.display()));
    }
}

/// The process of the guard.
pub fn run() -> io::Result<bool> {
    let mut ids = BTreeSet::new();
    let mut folders = BTreeSet::new();
    for line in io::stdin().lines().map_while(Result::ok) {
        match line.split_once(' ') {
            Some(("started", id)) => _ = ids.insert(id.to_owned()),
            Some(("ended", id)) => _ = ids.remove(id),
            Some(("folder", path)) => _ = folders.insert(path.to_owned()),
            _ => {}
        }
    }
    for id in ids {
        let _ = Command::new("kill").args(["-9", &id]).status();
    }
    if env::var_os("KEEP_LOGS").is_none() {
        for folder in folders {
            let _ = fs::remove_dir_all(folder);
        }
    }
    Ok(true)
}

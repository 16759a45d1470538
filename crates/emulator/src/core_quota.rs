//! A share of a core for each entry.
//!
//! In each period an entry runs at full speed until it has used its share, and
//! stands still for the rest, as with a quota of the operating system.

use std::{
    io,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use rustix::process::Signal;

use crate::entries::Entries;

/// Period of the quota.
const PERIOD: Duration = Duration::from_millis(100);
/// Interval between looks at the time used.
const LOOK_INTERVAL: Duration = Duration::from_millis(3);

/// An entry in the current period.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    pid: u32,
    used_at_start: Duration,
    is_stopped: bool,
}

/// Limits the entries until they are closed.
///
/// # Errors
///
/// The system can't start a thread.
pub fn limit(entries: &Arc<Mutex<Entries>>, share: f64) -> io::Result<()> {
    let entries = entries.clone();
    let quota = PERIOD.mul_f64(share);
    let run = move || {
        let count = entries.lock().expect("no holder panics").count();
        let mut usages = vec![Usage::default(); count];
        let mut period_ends = Instant::now() + PERIOD;
        loop {
            thread::sleep(LOOK_INTERVAL);
            let entries = entries.lock().expect("no holder panics");
            if entries.is_closed() {
                return;
            }
            let is_new_period = Instant::now() >= period_ends;
            if is_new_period {
                period_ends += PERIOD;
            }
            for (index, usage) in usages.iter_mut().enumerate() {
                usage.look(&entries, index, quota, is_new_period);
            }
        }
    };
    thread::Builder::new().name("core-quota".to_owned()).spawn(run)?;
    Ok(())
}

impl Usage {
    fn look(
        &mut self,
        entries: &Entries,
        index: usize,
        quota: Duration,
        is_new_period: bool,
    ) {
        let Some((pid, used)) = entries.core_time(index) else { return };
        if is_new_period || pid != self.pid {
            let is_stopped = self.is_stopped && pid == self.pid;
            *self = Usage { pid, used_at_start: used, is_stopped: false };
            if is_stopped {
                entries.signal(index, Signal::CONT);
            }
        } else if !self.is_stopped && used >= self.used_at_start + quota {
            self.is_stopped = true;
            entries.signal(index, Signal::STOP);
        }
    }
}

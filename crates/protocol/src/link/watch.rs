//! Requests heartbeats from silent peers and closes links after a timeout.

use std::time::Duration;

use async_io::Timer;

use super::{CloseReason, Link, Links};

impl Links {
    /// Checks all links for silence until the process exits.
    pub(super) async fn watch(self) {
        let options = &self.shared.options;
        loop {
            Timer::after(options.busy_interval / 2).await;
            for link in self.open() {
                self.check_silence(&link);
            }
        }
    }

    fn check_silence(&self, link: &Link) {
        let options = &self.shared.options;
        let (interval, timeout) = if link.has_requests() {
            (options.busy_interval, options.silence_timeout)
        } else {
            let timeout = options.idle_interval * 2 + options.silence_timeout;
            (options.idle_interval, timeout)
        };
        // The check requests a heartbeat within one and a half intervals of
        // silence. The peer has the rest of the timeout to respond.
        let response_time = timeout.saturating_sub(interval + interval / 2);
        let silence_ms = link.silence_ms();
        let is_silent = silence_ms > as_ms(timeout)
            && link.pending_heartbeat_ms() > as_ms(response_time);
        if is_silent {
            link.close(CloseReason::Silent);
        } else if silence_ms >= as_ms(interval)
            && link.try_request_heartbeat(as_ms(interval))
        {
            let _ = link.send(self.heartbeat(true));
        }
    }
}

fn as_ms(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

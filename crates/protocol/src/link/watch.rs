//! Asking quiet peers, and giving up silent ones.

use std::time::Duration;

use async_io::Timer;

use super::{CloseReason, Link, Links};

impl Links {
    /// Asks quiet peers for a heartbeat and closes the links of silent ones.
    pub(super) async fn watch(self) {
        let options = &self.shared.options;
        loop {
            Timer::after(options.busy_interval / 2).await;
            for link in self.open() {
                self.watch_one(&link);
            }
        }
    }

    fn watch_one(&self, link: &Link) {
        let options = &self.shared.options;
        let (interval, limit) = if link.has_requests() {
            (options.busy_interval, options.silence_timeout)
        } else {
            let limit = options.idle_interval * 2 + options.silence_timeout;
            (options.idle_interval, limit)
        };
        // A peer is asked within one and a half intervals; from then on it
        // has the rest of the limit to answer.
        let to_answer = limit.saturating_sub(interval + interval / 2);
        let quiet_ms = link.quiet_ms();
        let is_silent =
            quiet_ms > as_ms(limit) && link.unanswered_ms() > as_ms(to_answer);
        if is_silent {
            link.close(CloseReason::Silent);
        } else if quiet_ms >= as_ms(interval) && link.take_ask(as_ms(interval))
        {
            let _ = link.send(self.heartbeat(true));
        }
    }
}

fn as_ms(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

//! Bytes and counts of links as metrics.
//!
//! Links count by themselves, without metrics on the path of a frame; what
//! has come up is carried over once an interval.

use std::{sync::Arc, time::Duration};

use async_io::Timer;
use chestnutreach_protocol::{Links, Traffic};
use chestnutreach_telemetry::Metrics;

/// Time between two looks; metrics lag by this much.
const INTERVAL: Duration = Duration::from_secs(1);

/// Carries the counts of links over to metrics until the process ends.
pub async fn count_traffic(links: Links, metrics: Arc<Metrics>) {
    let mut counted = Traffic::default();
    loop {
        Timer::after(INTERVAL).await;
        let traffic = links.traffic();
        let sent = traffic.control_sent_bytes - counted.control_sent_bytes;
        let received =
            traffic.control_received_bytes - counted.control_received_bytes;
        metrics.control_bytes_sent.inc_by(sent);
        metrics.control_bytes_received.inc_by(received);
        metrics.links_open.set(links.open().len() as i64);
        counted = traffic;
    }
}

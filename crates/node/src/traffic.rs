//! Metrics of links.
//!
//! Links count bytes on their own, to keep metrics out of the frame path. The
//! counts are added to the metrics once per interval.

use std::{sync::Arc, time::Duration};

use async_io::Timer;
use chestnutreach_protocol::{Links, Traffic};
use chestnutreach_telemetry::Metrics;

/// Time between two updates; the metrics lag by at most this much.
const INTERVAL: Duration = Duration::from_secs(1);

/// Updates the metrics from the counts of the links; never returns.
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

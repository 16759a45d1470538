//! Link options from the daemon settings.

use std::time::Duration;

use chestnutreach_config::settings::LinkSettings;
use chestnutreach_protocol::LinkOptions;

/// Converts link settings to link options.
pub fn options(settings: &LinkSettings) -> LinkOptions {
    LinkOptions::new()
        .connect_timeout(Duration::from_millis(settings.connect_timeout_ms))
        .busy_interval(Duration::from_millis(settings.busy_interval_ms))
        .idle_interval(Duration::from_millis(settings.idle_interval_ms))
        .silence_timeout(Duration::from_millis(settings.silence_limit_ms))
}

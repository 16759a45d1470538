//! Settings of a daemon and the manifest of a deployment.
//!
//! Both are INI. Everything found wrong is reported together, with file,
//! line, section and key.
//!
//! | module | what it holds |
//! |---|---|
//! | [`findings`] | what was found wrong, and where |
//! | [`settings`] | the settings of one daemon |
//! | [`manifest`] | what the fleet serves, checked as a whole |

pub mod findings;
pub mod manifest;
pub mod settings;

pub use findings::{Finding, Findings};
pub use manifest::Manifest;
pub use settings::DaemonSettings;

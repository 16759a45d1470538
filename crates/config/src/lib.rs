//! Settings of a daemon and the manifest of a deployment.
//!
//! Both are INI files. A parser reports all errors of a file together, each
//! with file, line, section and key.
//!
//! | module | contents |
//! |---|---|
//! | [`findings`] | errors of a file and their locations |
//! | [`fields`] | schema of the keys of a section: formats, ranges, defaults |
//! | [`settings`] | settings of one daemon |
//! | [`manifest`] | manifest of a deployment and its validation |
//! | [`parts`] | content-addressed parts of a manifest |
//! | [`keys`] | digests of API keys of client accounts |
//!
//! # Example
//!
//! ```
//! use chestnutreach_config::Manifest;
//!
//! let text = "\
//! [deployment]
//! name = kaolack
//! recovery-weight-percent = 130
//! colour = blue
//! ";
//! let findings = Manifest::try_parse("kaolack.ini", text).unwrap_err();
//! let lines: Vec<String> =
//!     findings.iter().map(|finding| finding.to_string()).collect();
//! assert_eq!(
//!     lines,
//!     [
//!         "kaolack.ini:3: [deployment] recovery-weight-percent: \
//!          130 is out of range; it must be 0..=100 %",
//!         "kaolack.ini:4: [deployment] colour: unknown key",
//!     ],
//! );
//! ```

pub mod fields;
pub mod findings;
pub mod keys;
pub mod manifest;
pub mod parts;
pub mod settings;

mod document;
mod section_index;
mod values;

pub use findings::{Finding, Findings};
pub use keys::key_digest;
pub use manifest::Manifest;
pub use parts::Parts;
pub use settings::DaemonSettings;

//! The clients against the stand-ins, in this process over loopback.

mod claims;
mod decide;
mod manifest;
mod services;
mod support;

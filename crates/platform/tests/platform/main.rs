//! The clients against the stand-ins, in this process over loopback.

mod claims;
mod manifest;
mod services;
mod support;

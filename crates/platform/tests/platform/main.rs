//! The clients against in-process stand-ins, over loopback.

mod claims;
mod decide;
mod manifest;
mod services;
mod support;

//! Entries on the users' platform, run as separate processes against stand-ins
//! of the store, the engines and a plain service.

mod bad_input;
mod closed_ports;
mod competition;
mod cooldowns;
mod crash_points;
mod crashing_parts;
mod crashing_requests;
mod cut_heads;
mod engine_restarts;
mod fault_free;
mod faults;
mod feed_sharing;
mod large_bodies;
mod large_configuration;
mod links;
mod many_entries;
mod odd_rows;
mod part_crash_points;
mod rate_limits;
mod retry_limit;
mod slow_answers;
mod soak;
mod stop_grace;
mod stops;
mod store;
mod store_copies;
mod support;
mod traces;
mod unending_responses;
mod uneven_connections;
mod unframed_responses;

//! What an entry knows, and from whom.
//!
//! | module | what it holds |
//! |---|---|
//! | `feed_follower` | configuration and list of backend servers, by feeds |
//! | `feeds`, `feed_health` | copies of what the store holds, and their age |
//! | `feed_server` | answering other entries in place of the store |
//! | `backend_rows`, `unusable_rows` | rows of the list as they come |
//! | `fleet`, `engine` | what is known of backend servers |
//! | `probe` | noticing that one is dead, slow, or back |
//! | `engine_watcher`, `alerts` | who watches which engine, and tells all |
//! | `notices` | what backend servers say of themselves in answers |
//! | `permits` | who may send to a server that named a limit |
//! | `suspects` | requests under which engines crashed |
//! | `peers`, `peer_table`, `peer_usage` | what entries tell each other |

pub(crate) mod alerts;
pub(crate) mod backend_rows;
pub(crate) mod engine;
pub(crate) mod engine_watcher;
pub(crate) mod feed_follower;
pub(crate) mod feed_health;
pub(crate) mod feed_server;
pub(crate) mod feeds;
pub(crate) mod fleet;
pub(crate) mod notices;
pub(crate) mod peer_table;
pub(crate) mod peer_usage;
pub(crate) mod peers;
pub(crate) mod permits;
pub(crate) mod probe;
pub(crate) mod suspects;
pub(crate) mod unusable_rows;

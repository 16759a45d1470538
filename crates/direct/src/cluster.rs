//! An entry's view of the store, the backend servers and the other entries.
//!
//! | module | purpose |
//! |---|---|
//! | `feed_follower` | tasks that follow the configuration and backend list |
//! | `feeds`, `feed_health` | copies of store tables, and the store's health |
//! | `feed_server` | server and client of feeds between entries |
//! | `received_rows` | rows that another entry sends |
//! | `configuration_rows` | configurations that the feed brings |
//! | `configuration_age` | how current the configuration in force is |
//! | `backend_rows`, `unusable_rows` | rows of the backend list |
//! | `fleet`, `engine` | state of the backend servers |
//! | `end_check` | whether a response without a length is whole |
//! | `lost_runs` | whether a server crashed whose connections ended |
//! | `process_word` | what a server says of the process that runs |
//! | `exit_check` | whether a process has exited, for a request's limit |
//! | `probe` | detection of failed, slow and recovered servers |
//! | `discovery` | how entries find each other |
//! | `engine_watcher` | idle connections that detect the exit of a process |
//! | `alerts` | findings that are sent to all entries without delay |
//! | `notices` | notices in the response headers of backend servers |
//! | `permits` | sharing of the rate limit that a server announced |
//! | `suspects` | requests under which engines crashed |
//! | `suspect_rows` | what the store keeps of such requests |
//! | `peers`, `peer_table`, `peer_usage`, `peer_demand` | state exchanged between entries |

pub(crate) mod alerts;
pub(crate) mod backend_rows;
pub(crate) mod configuration_age;
pub(crate) mod configuration_rows;
pub(crate) mod discovery;
pub(crate) mod end_check;
pub(crate) mod engine;
pub(crate) mod engine_watcher;
pub(crate) mod exit_check;
pub(crate) mod feed_follower;
pub(crate) mod feed_health;
pub(crate) mod feed_server;
pub(crate) mod feeds;
pub(crate) mod fleet;
pub(crate) mod lost_runs;
pub(crate) mod notices;
pub(crate) mod peer_demand;
pub(crate) mod peer_table;
pub(crate) mod peer_usage;
pub(crate) mod peers;
pub(crate) mod permits;
pub(crate) mod probe;
pub(crate) mod process_word;
pub(crate) mod received_rows;
pub(crate) mod suspect_rows;
pub(crate) mod suspects;
pub(crate) mod unusable_rows;

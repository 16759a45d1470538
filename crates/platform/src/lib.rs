//! Clients of the platform's services, over HTTP/1.1.
//!
//! The platform keeps all that must last. Each call ends in time, and an
//! error tells whether a write surely was not applied or may have been.
//! Requests are not signed yet: signing is left to the platform's own
//! network rules.
//!
//! | module | what it holds |
//! |---|---|
//! | [`table`] | rows of the table service, with conditions |
//! | [`wire`] | messages of the table service's protocol |
//! | [`objects`] | objects by path |
//! | [`vm_list`] | the list of live and leaving VMs |
//! | [`manifest_store`] | generations of the manifest |
//! | [`claims`] | claims of requests with an idempotency key |
//! | [`concurrent`] | several calls at once |
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use chestnutreach_platform::{
//!     TableClient,
//!     table::{Condition, TableError, Write},
//! };
//!
//! async fn add(table: &TableClient) -> Result<(), TableError> {
//!     let value = Some(b"held".to_vec());
//!     let condition = Condition::Absent;
//!     let write = Write { key: "lease/desk-llm".into(), value, condition };
//!     table.write(write, "a-token-of-this-write").await
//! }
//!
//! let address = "127.0.0.1:8000".parse().unwrap();
//! let table = TableClient::new(address, Duration::from_millis(800));
//! let call = add(&table);
//! # drop(call);
//! ```

pub mod claims;
pub mod concurrent;
mod hex;
pub mod manifest_store;
pub mod objects;
pub mod table;
mod transport;
pub mod vm_list;
pub mod wire;

pub use claims::{ClaimOptions, ClaimStore};
pub use manifest_store::ManifestStore;
pub use objects::ObjectClient;
pub use table::TableClient;
pub use vm_list::VmListClient;

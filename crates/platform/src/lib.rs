//! Clients of the platform's services, over HTTP/1.1.
//!
//! All durable state is kept in these services. Every call has a timeout, and
//! an error states whether a write was certainly not applied or may have been.
//! Requests are not signed yet: access control is left to the platform's
//! network rules.
//!
//! | module | contents |
//! |---|---|
//! | [`table`] | rows of the table service, with conditions |
//! | [`wire`] | messages of the table service's protocol |
//! | [`objects`] | objects by path |
//! | [`vm_list`] | the list of running and draining VMs |
//! | [`manifest_store`] | generations of the manifest |
//! | [`claims`] | claims of idempotency keys |
//! | [`concurrent`] | running several calls concurrently |
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

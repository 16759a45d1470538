//! Stand-ins for the platform's services, in memory.
//!
//! Each has its own listener. Besides the service's own calls, it handles
//! `PUT /faults` (see [`FaultSettings`]), `GET /faults`, `GET /held` and
//! `GET /stats`, which faults don't affect.
//!
//! | module | contents |
//! |---|---|
//! | [`table`] | the table service |
//! | [`objects`] | the object store |
//! | [`vm_list`] | the VM list |
//! | [`faults`] | faults that can be injected |

pub mod faults;
pub mod objects;
mod serve;
pub mod table;
pub mod vm_list;

pub use faults::{Down, FaultSettings, Faults};
pub use objects::{ObjectStats, serve_objects};
pub use table::{TableStats, serve_table};
pub use vm_list::{VmListStats, serve_vm_list};

//! Stand-ins for the platform's services, in memory.
//!
//! Each serves on a listener of its own and takes `PUT /faults` (see
//! [`FaultSettings`]) and `GET /stats` beside its service, also while it
//! acts as if it were down.
//!
//! | module | what it holds |
//! |---|---|
//! | [`table`] | the table service |
//! | [`objects`] | the object store |
//! | [`vm_list`] | the list of VMs |
//! | [`faults`] | the faults they can be given |

pub mod faults;
pub mod objects;
mod serve;
pub mod table;
pub mod vm_list;

pub use faults::{Down, FaultSettings, Faults};
pub use objects::{ObjectStats, serve_objects};
pub use table::{TableStats, serve_table};
pub use vm_list::{VmListStats, serve_vm_list};

//! Planning of which engine holds which layers, and the orders for that.
//!
//! | module | purpose |
//! |---|---|
//! | `lease` | the lease of the planner |
//! | `authority` | the authority under which this entry sends orders |
//! | `orders` | planning rounds and the sending of orders |

pub(crate) mod authority;
pub(crate) mod lease;
pub(crate) mod orders;

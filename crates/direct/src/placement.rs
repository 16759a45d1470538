//! Who plans which engine holds which layers, and the orders for it.
//!
//! | module | what it holds |
//! |---|---|
//! | `lease` | the lease of the planner |
//! | `authority` | by what right this entry orders now |
//! | `orders` | the orders |

pub(crate) mod authority;
pub(crate) mod lease;
pub(crate) mod orders;

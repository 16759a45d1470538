//! Who plans which engine holds which layers, and the orders for it.
//!
//! | module | what it holds |
//! |---|---|
//! | `lease` | the lease of the planner |
//! | `mandate` | by what right this entry orders now |
//! | `place` | the orders |

pub(crate) mod lease;
pub(crate) mod mandate;
pub(crate) mod place;

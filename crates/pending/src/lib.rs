//! Why work waits: what a planner found out ([`Diagnosis`]), what of it travels ([`Teller`]), and what an edge keeps
//! and shows ([`Ledger`]). State machines without I/O; all times are seconds on the caller's clock.
//!
//! A reason says who holds the work back ([`Source`]): the policy's own choice, a node's refusal, the owner, the
//! edge, or the register. A node's words and the policy's choice stand side by side where both hold.

mod diagnosis;
mod ledger;
mod reason;
mod record;
mod teller;

pub use diagnosis::{Diagnosis, Limit, Nearest};
pub use ledger::{Held, Ledger, Settings, Write};
pub use reason::{Code, Source};
pub use record::{Record, Span};
pub use teller::{Draft, Teller, Word};

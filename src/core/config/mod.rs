//! The configuration: objects, plans, the fold of the `config` stream, and the audit trail.

pub mod object;

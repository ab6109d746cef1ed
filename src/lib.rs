//! A router for model pipelines over mixed accelerators.
//!
//! ```
//! use cornelwharf::clock::Millis;
//!
//! let start = Millis::seconds(1);
//! assert_eq!(start + Millis(500), Millis(1500));
//! ```

pub mod api;
pub mod bench;
pub mod cli;
pub mod client;
pub mod clock;
pub mod consts;
pub mod core;
pub mod edge;
pub mod error;
pub mod io;
pub mod names;
pub mod output;
pub mod settings;
pub mod standin;
pub mod trial;

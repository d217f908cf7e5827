//! The commands of operators: keys, bundles, evacuations and status.

mod admin_error;
mod bundle;
mod client;
mod command;
mod evacuate;
mod format_bundles;
mod format_status;
mod key;
mod output;
mod status;
mod wait;

pub use admin_error::AdminError;
pub use bundle::run_bundle;
pub use client::AdminClient;
pub use evacuate::{format_evacuation, run_evacuate};
pub use format_bundles::{format_diff, format_done, format_history, format_lagging};
pub use format_status::format_status;
pub use key::run_key;
pub use status::run_status;

//! Starts and stops the threads of a host.

mod run;
mod signed_bundle;
mod worker;

pub use run::{RunError, run};
pub use signed_bundle::{BundleSignature, SignedBundleError, load_signed_bundle, signed_message};
pub use worker::{StartError, Workers, start_workers};

//! A host and stand-ins of both deployments in one process, with a short recorded trace replayed against
//! them.

mod deployment;
mod endpoints;
mod error;
mod host;
mod repeated_calls;
mod run;

pub(crate) use deployment::{DEPLOYMENTS, DemoPool, Deployment, deployment};
pub(crate) use endpoints::{Placement, start_endpoints};
pub use error::DemoError;
pub(crate) use host::DemoHost;
pub(crate) use repeated_calls::repeated_calls;
pub(crate) use run::wait_for_endpoints;
pub use run::{DemoOptions, run_demo};

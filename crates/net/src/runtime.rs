//! The only place that builds a runtime.

use monoio::{LegacyDriver, RuntimeBuilder};
use std::future::Future;
use std::io;

/// Runs `main` to its end on a runtime of this thread.
///
/// Uses the epoll driver: io_uring is not allowed where masticstair runs.
///
/// # Errors
///
/// Returns the error of the operating system when the driver cannot be set up.
pub fn block_on<F: Future>(main: F) -> io::Result<F::Output> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()?;
    Ok(runtime.block_on(main))
}

//! Construction of the async runtime. All threads use the same driver.

use monoio::{LegacyDriver, RuntimeBuilder};
use std::future::Future;
use std::io;

/// Builds a runtime with timers on the current thread and runs `main` to completion.
///
/// Uses the epoll driver, because io_uring is not permitted in the target environments.
///
/// # Errors
///
/// Returns the operating system error if the driver cannot be created.
pub fn block_on<F: Future>(main: F) -> io::Result<F::Output> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()?;
    Ok(runtime.block_on(main))
}

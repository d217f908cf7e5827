use masticstair_net::runtime::block_on;
use std::future::Future;
use std::io;
use std::thread::{self, JoinHandle};

use crate::bench::BenchError;

/// A thread with a runtime of its own, as a caller or an endpoint on another machine has.
pub struct RuntimeThread<T>(JoinHandle<io::Result<T>>);

impl<T: Send + 'static> RuntimeThread<T> {
    /// Starts a thread that runs what `main` returns to its end.
    ///
    /// # Errors
    ///
    /// Fails when the thread does not start.
    pub fn start<F: Future<Output = T>>(
        name: &str,
        main: impl FnOnce() -> F + Send + 'static,
    ) -> io::Result<Self> {
        let run = move || block_on(async { main().await });
        thread::Builder::new().name(name.to_owned()).spawn(run).map(Self)
    }

    /// Waits for the end.
    ///
    /// # Errors
    ///
    /// Fails when the runtime did not start or the thread panicked.
    pub fn join(self) -> Result<T, BenchError> {
        Ok(self.0.join().map_err(|_| BenchError::Panicked)??)
    }
}

use futures_channel::mpsc;
use std::io;
use std::thread;
use std::time::{Duration, Instant};

/// A call that is due.
#[derive(Clone, Copy, Debug)]
pub struct PacedCall {
    /// Its number from 0.
    pub number: usize,
    /// When it was planned.
    pub planned: Instant,
}

/// Announces `count` calls, each at its time after the start, which `at` returns.
///
/// A thread of its own does so: the timer of the runtime rounds up to 1 ms, which is more than what the
/// measurement is to tell apart.
///
/// # Errors
///
/// Fails when the thread does not start.
pub fn start_pacer(
    count: usize,
    at: impl Fn(usize) -> Duration + Send + 'static,
) -> io::Result<mpsc::UnboundedReceiver<PacedCall>> {
    let (tx, rx) = mpsc::unbounded();
    let pace = move || {
        let start = Instant::now() + Duration::from_millis(5);
        for number in 0..count {
            let planned = start + at(number);
            thread::sleep(planned.saturating_duration_since(Instant::now()));
            if tx.unbounded_send(PacedCall { number, planned }).is_err() {
                return;
            }
        }
    };
    thread::Builder::new().name("bench-pacer".to_owned()).spawn(pace)?;
    Ok(rx)
}

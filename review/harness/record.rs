//! The record of a run: what was sent, answered and run, with the milliseconds since the start.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();

pub fn open(path: &str) {
    let file = File::create(path).expect("the record can be created");
    let _ = RECORD.set((Instant::now(), Mutex::new(file)));
}

pub fn line(text: &str) {
    if let Some((start, file)) = RECORD.get() {
        let _ = writeln!(file.lock().unwrap(), "{:>7} ms  {text}", start.elapsed().as_millis());
    }
}

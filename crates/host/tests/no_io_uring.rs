//! The platform forbids io_uring, but the async runtime also has a driver for it.

#![allow(clippy::unwrap_used)]

use std::fs;
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Guards against a build with the io_uring driver. A process that has called `io_uring_setup` holds the ring
/// as an open file.
#[test]
fn a_running_host_has_no_io_uring() {
    let folder = tempfile::tempdir().unwrap();
    let settings = folder.path().join("h1.toml");
    let data = folder.path().join("data");
    let text = format!(
        "deployment = \"d\"\nhost = \"h1\"\nregion = \"r\"\ndata_centre = \"dc1\"\n\
         listen = \"127.0.0.1:0\"\npeer_listen = \"127.0.0.1:0\"\nworkers = 3\n\
         initial_voters = [\"h1\"]\ndata_folder = {:?}\n",
        data.display().to_string()
    );
    fs::write(&settings, text).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_masticstaird"))
        .args(["run", "--config"])
        .arg(&settings)
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let files = open_files(child.id());
    child.kill().unwrap();
    child.wait().unwrap();
    assert!(files.iter().filter(|f| f.contains("eventpoll")).count() >= 4, "{files:?}");
    assert!(files.iter().all(|f| !f.contains("io_uring")), "{files:?}");
}

/// Returns the open files once the control thread and the three workers have created their epoll instances,
/// or after 5 s.
fn open_files(pid: u32) -> Vec<String> {
    let started = Instant::now();
    loop {
        let folder = Path::new("/proc").join(pid.to_string()).join("fd");
        let links =
            fs::read_dir(folder).unwrap().filter_map(|f| fs::read_link(f.ok()?.path()).ok());
        let files: Vec<String> = links.map(|l| l.display().to_string()).collect();
        let drivers = files.iter().filter(|f| f.contains("eventpoll")).count();
        if drivers >= 4 || started.elapsed() > Duration::from_secs(5) {
            return files;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

//! Drives the cases of this review: starts the hosts of a small deployment, stand-ins of replicas, clients, the operator and
//! the platform on loopback addresses, and judges what they have seen. Uses the standard library only.
//!
//! `stand-ins CASE FOLDER TROUBLE` writes `record.txt` into the folder; with `0` for TROUBLE there is no disruption. Exit status: 1 if the rule was broken, 0 if it held, 2 if the
//! case could not run.

mod cases;
mod deployment;
mod http;
mod replica;

use std::path::PathBuf;
use std::process::exit;
use std::time::Duration;

/// Whether the rule of a case held, with the reason.
pub enum Verdict {
    Held(String),
    Broken(String),
}

/// The longest time that a case may take.
const TIME_LIMIT: Duration = Duration::from_secs(105);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder, trouble] = args.as_slice() else {
        eprintln!("usage: stand-ins CASE FOLDER TROUBLE");
        exit(2);
    };
    let with_trouble = trouble != "0";
    let mut deployment = match deployment::Deployment::new(PathBuf::from(folder)) {
        Ok(deployment) => deployment,
        Err(e) => {
            eprintln!("cannot prepare the case: {e}");
            exit(2);
        }
    };
    let record = deployment.record.clone();
    let processes = deployment.processes.clone();
    let temporary = deployment.temporary.clone();
    std::thread::spawn(move || {
        std::thread::sleep(TIME_LIMIT);
        record.line("the case took too long");
        deployment::end_all(&processes);
        let _ = std::fs::remove_dir_all(&temporary);
        exit(2);
    });
    let record = deployment.record.clone();
    record.line(&format!(
        "case {case}, {} the disruption",
        if with_trouble { "with" } else { "without" }
    ));
    let result = match case.as_str() {
        "copies" => cases::copies(&mut deployment, with_trouble),
        _ => Err(format!("no case is called {case}")),
    };
    deployment::end_all(&deployment.processes);
    let _ = std::fs::remove_dir_all(&deployment.temporary);
    let (status, text) = match result {
        Ok(Verdict::Held(reason)) => (0, format!("HELD: {reason}")),
        Ok(Verdict::Broken(reason)) => (1, format!("BROKEN: {reason}")),
        Err(reason) => (2, format!("COULD NOT RUN: {reason}")),
    };
    record.line(&text);
    println!("{text}");
    exit(status);
}

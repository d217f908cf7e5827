//! Stand-ins of clients, replicas and the operator for the scripts of the review, and the start of the hosts.
//!
//! Usage: `harness SCENARIO RECORD`, in the root of the repository. The exit status is 1 if the rule was broken, 0 if it
//! held and 2 if the scenario could not run. `TROUBLE=0` leaves the disruption out.

mod deployment;
mod endless_body;
mod http;
mod late_extra_answer;
mod record;
mod replica;

use std::process::exit;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(scenario), Some(path)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: harness SCENARIO RECORD");
        exit(2);
    };
    record::open(path);
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    record::line(&format!("scenario {scenario}, trouble {trouble}"));
    let outcome = match scenario.as_str() {
        "endless-body" => endless_body::run(trouble, endless_body::Tail::ChunkSize),
        "endless-head" => endless_body::run(trouble, endless_body::Tail::InterimResponses),
        "late-extra-answer" => late_extra_answer::run(trouble),
        _ => Err(format!("unknown scenario {scenario}")),
    };
    let status = match outcome {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(e) => {
            record::line(&format!("could not run: {e}"));
            2
        }
    };
    record::line(&format!("exit status {status}"));
    exit(status);
}

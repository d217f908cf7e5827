//! The case.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::Deployment;
use crate::http::{self, Message};
use crate::replica::{self, DEADLY, Runs, hash};

const CONTROLS: u8 = 4;
const KEY: &str = "9dnn2ctnfzs989anu6ws";

const LIMITS: &str = "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
    \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}";

const ORDERS: &str = "{\"name\":\"orders\",\"health-path\":\"/healthz\",\"max-connections\":100,\
    \"protocol\":\"h1\",\"tls\":false}";

fn lookup_route() -> String {
    "{\"name\":\"r-lookup\",\"hostname\":\"one.example\",\"path-prefix\":\"/stock/\",\"type\":\"idempotent\",\
     \"timeout-ms\":3000,\"target-latency-ms\":300,\"priority\":0,\"service\":\"orders\",\"max-attempts\":1,\
     \"public\":false}"
        .to_owned()
}

fn tenant(name: &str, key: &str) -> String {
    format!("{{\"name\":\"{name}\",\"api-keys\":[\"{key}\"],\"priority\":1}}")
}

fn manifest(version: u64, routes: &[String], services: &[&str], tenants: &[String]) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],{LIMITS},\"tenants\":[{}]}}",
        routes.join(","),
        services.join(","),
        tenants.join(",")
    )
}

/// Starts control hosts and entry hosts as at the first start of the whole system.
fn start_hosts(deployment: &Deployment, entries: u8) -> Result<(), String> {
    for number in 1..=CONTROLS {
        deployment.start_control(number, true)?;
    }
    for number in 1..=entries {
        deployment.start_entry(number, true)?;
    }
    Ok(())
}

fn send_lookup(
    deployment: &Deployment,
    entry: u8,
    attempt: &str,
    path: &str,
) -> Result<Message, String> {
    let headers = [
        ("Host", "one.example".to_owned()),
        ("Attempt-Id", attempt.to_owned()),
        ("Deadline-Ms", "3000".to_owned()),
        ("Api-Key", KEY.to_owned()),
    ];
    http::call(deployment.entry(entry), "GET", path, &headers, &[], Duration::from_secs(4))
}

fn outcome(answer: &Result<Message, String>) -> String {
    match answer {
        Ok(answer) if !answer.is_complete => format!("{}, cut", answer.status()),
        Ok(answer) => format!("{} {}", answer.status(), answer.text().lines().next().unwrap_or("")),
        Err(reason) => reason.clone(),
    }
}

fn attempt_id(text: &str) -> String {
    format!("a{:015x}", hash(&format!("{text}/{}", std::process::id())) >> 4)
}

/// Sends requests until one is served.
fn wait_served(deployment: &Deployment, limit: Duration) -> Result<(), String> {
    let until = Instant::now() + limit;
    let mut last = String::new();
    for n in 0.. {
        if Instant::now() > until {
            break;
        }
        let answer = send_lookup(deployment, 1, &attempt_id(&format!("first-{n}")), "/stock/2f");
        if answer.as_ref().is_ok_and(|answer| answer.status() == 200) {
            return Ok(());
        }
        last = outcome(&answer);
        std::thread::sleep(Duration::from_millis(200));
    }
    Err(format!("no request was served before the case began; last answer: {last}"))
}

/// A request that crashes the replicas that run it comes several times at a moment, at different machines, and again later.
pub fn copies(deployment: &mut Deployment, with_trouble: bool) -> Result<Verdict, String> {
    const ENTRIES: u8 = 4;
    const REPLICAS: u8 = 12;
    let contact = Duration::from_millis(3_000);
    let runs = Runs::default();
    start_hosts(deployment, ENTRIES)?;
    for number in 1..=REPLICAS {
        replica::start(deployment, number, "orders", &runs)?;
    }
    let tenants = [tenant("bozi300", KEY)];
    let content = manifest(7, &[lookup_route()], &[ORDERS], &tenants);
    deployment.send_manifest(&content, 3, Duration::from_secs(20))?;
    for entry in 1..=ENTRIES {
        deployment.wait_ready(entry, Duration::from_secs(20))?;
    }
    wait_served(deployment, Duration::from_secs(15))?;
    std::thread::sleep(Duration::from_secs(5));
    let shared: &Deployment = deployment;
    // Once and again, a while after the replicas are back.
    for round in 0..4_u64 {
        let copies = if with_trouble { ENTRIES } else { 1 };
        std::thread::scope(|scope| {
            for n in 0..copies {
                scope.spawn(move || {
                    let attempt = format!("d{}", &attempt_id(&format!("deadly-{round}-{n}"))[1..]);
                    let answer = send_lookup(shared, 1 + n, &attempt, DEADLY);
                    shared.record.line(&format!(
                        "round {round}: deadly request {attempt} at edge-{}: {}",
                        1 + n,
                        outcome(&answer)
                    ));
                });
            }
        });
        std::thread::sleep(Duration::from_secs(6));
    }
    let runs = runs.lock().unwrap();
    let deadly: Vec<_> = runs.iter().filter(|run| run.attempt.starts_with('d')).collect();
    // A replica crashes once in a lifetime, and each lifetime has an id of its own. A crash comes 40 ms after the first run there.
    let mut crashes: BTreeMap<&str, Instant> = BTreeMap::new();
    for run in &deadly {
        crashes.entry(&run.replica).or_insert(run.begun + replica::RUNS_FOR);
    }
    let mut crashes: Vec<_> = crashes.into_values().collect();
    crashes.sort();
    let Some(third) = crashes.get(2) else {
        return Ok(Verdict::Held(format!("only {} replicas crashed", crashes.len())));
    };
    let late = deadly.iter().filter(|run| run.begun > *third + contact).count();
    let text = format!(
        "{late} retries of a request that crashes replicas reached replicas later than 3 s after its third crash (3 are \
         allowed to); {} runs and {} crashes in all",
        deadly.len(),
        crashes.len()
    );
    Ok(if late > 3 { Verdict::Broken(text) } else { Verdict::Held(text) })
}

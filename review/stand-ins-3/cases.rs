//! The cases.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::Deployment;
use crate::http::{self, Message};
use crate::replica::{self, DEADLY, Run, Runs, Work, hash};

const CONTROLS: u8 = 4;
const KEY: &str = "9dnn2ctnfzs989anu6ws";

const LIMITS: &str = "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
    \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}";

const ENGINE: &str = "{\"name\":\"pool\",\"health-path\":\"/healthz\",\"max-connections\":620,\"protocol\":\"h1\",\
    \"tls\":false,\"engine\":{\"capacity\":128,\"kv-capacity-tokens\":262108,\"kv-token-bytes\":131072,\
    \"link-mbps\":550000.0,\"migrations\":true,\"backups\":true,\"stride\":3,\"most\":12,\"pin-ms\":4000.0,\
    \"hold-ms\":2000.0,\"handle-ttl-s\":5.0,\"models\":[{\"name\":\"m\"}]}}";

const ORDERS: &str = "{\"name\":\"orders\",\"health-path\":\"/healthz\",\"max-connections\":100,\
    \"protocol\":\"h1\",\"tls\":false}";

fn stream_route(max_attempts: u32) -> String {
    format!(
        "{{\"name\":\"r-stream\",\"hostname\":\"one.example\",\"path-prefix\":\"/draft/\",\"type\":\"streaming\",\
         \"timeout-ms\":8000,\"target-latency-ms\":1900,\"priority\":0,\"service\":\"pool\",\"max-attempts\":{max_attempts},\
         \"phases\":[],\"public\":false,\"session-affinity\":true,\"stream-resume\":true,\
         \"gap-target-ms\":500}}"
    )
}

fn order_route() -> String {
    "{\"name\":\"r-order\",\"hostname\":\"one.example\",\"path-prefix\":\"/order/\",\"type\":\"non_idempotent\",\
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

fn send_stream(
    deployment: &Deployment,
    entry: u8,
    attempt: &str,
    more: &[(&'static str, String)],
) -> Result<Message, String> {
    let session = hash(attempt) % 90;
    let mut headers = vec![
        ("Host", "one.example".to_owned()),
        ("Attempt-Id", attempt.to_owned()),
        ("Model", "m".to_owned()),
        ("Token-Usage", "715,234".to_owned()),
        ("Prefix-Hash", format!("5c1e07a2:100,{:x}:72,{attempt}:543", 0x91bd_0000 + session)),
        ("Deadline-Ms", "8000".to_owned()),
        ("Api-Key", KEY.to_owned()),
    ];
    headers.extend_from_slice(more);
    let body = b"prompt";
    http::call(deployment.entry(entry), "POST", "/draft/2f", &headers, body, Duration::from_secs(9))
}

fn send_order(
    deployment: &Deployment,
    entry: u8,
    attempt: &str,
    key: Option<&str>,
) -> Result<Message, String> {
    let mut headers = vec![
        ("Host", "one.example".to_owned()),
        ("Attempt-Id", attempt.to_owned()),
        ("Deadline-Ms", "3000".to_owned()),
    ];
    if let Some(key) = key {
        headers.push(("Api-Key", key.to_owned()));
    }
    let body = if attempt.starts_with('d') { DEADLY } else { "one visit" };
    http::call(
        deployment.entry(entry),
        "POST",
        "/order/2f",
        &headers,
        body.as_bytes(),
        Duration::from_secs(4),
    )
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

/// Sends orders until one is served.
fn wait_served(deployment: &Deployment, limit: Duration) -> Result<(), String> {
    let until = Instant::now() + limit;
    let mut last = String::new();
    for n in 0.. {
        if Instant::now() > until {
            break;
        }
        let answer = send_order(deployment, 1, &attempt_id(&format!("first-{n}")), Some(KEY));
        if answer.as_ref().is_ok_and(|answer| answer.status() == 200) {
            return Ok(());
        }
        last = outcome(&answer);
        std::thread::sleep(Duration::from_millis(200));
    }
    Err(format!("no request was served before the case began; last answer: {last}"))
}

/// A stream may run on two replicas. Four times for 6.5 s, answers of seven of twelve replicas are lost, 40 in 100 of them.
pub fn runs(deployment: &mut Deployment, with_trouble: bool) -> Result<Verdict, String> {
    const REQUESTS: u64 = 1_900;
    const MOST_RUNS: usize = 2;
    const ENTRIES: u8 = 5;
    let runs = Runs::default();
    start_hosts(deployment, ENTRIES)?;
    for number in 1..=12 {
        let lost = if number <= 7 { 400 } else { 0 };
        replica::start(deployment, number, "pool", Work::Stream { events: 8, lost }, &runs)?;
    }
    let tenants = [tenant("bozi300", KEY)];
    let routes = [stream_route(2)];
    let content = manifest(7, &routes, &[ENGINE], &tenants);
    deployment.send_manifest(&content, 3, Duration::from_secs(20))?;
    for entry in 1..=ENTRIES {
        deployment.wait_ready(entry, Duration::from_secs(20))?;
    }
    std::thread::sleep(Duration::from_secs(3));
    let next = AtomicU64::new(0);
    let outcomes: Mutex<BTreeMap<String, u64>> = Mutex::default();
    let started = Instant::now();
    let shared: &Deployment = deployment;
    std::thread::scope(|scope| {
        scope.spawn(|| {
            for _ in 0..4 {
                std::thread::sleep(Duration::from_secs(2));
                replica::LOSES_ANSWERS.store(with_trouble, Ordering::SeqCst);
                shared.record.line(&format!("answers are lost from now on: {with_trouble}"));
                std::thread::sleep(Duration::from_millis(6_500));
                replica::LOSES_ANSWERS.store(false, Ordering::SeqCst);
                shared.record.line("answers are lost no more");
            }
        });
        for _ in 0..40 {
            scope.spawn(|| {
                loop {
                    let n = next.fetch_add(1, Ordering::Relaxed);
                    if n >= REQUESTS {
                        return;
                    }
                    let due = started + Duration::from_millis(n * 18);
                    std::thread::sleep(due.saturating_duration_since(Instant::now()));
                    let attempt = attempt_id(&format!("stream-{n}"));
                    let entry = 1 + (n % u64::from(ENTRIES)) as u8;
                    let answer = send_stream(shared, entry, &attempt, &[]);
                    let text = match &answer {
                        Ok(answer) if answer.is_complete && answer.status() == 200 => {
                            "200, whole".to_owned()
                        }
                        answer => outcome(answer).chars().take(24).collect(),
                    };
                    *outcomes.lock().unwrap().entry(text).or_default() += 1;
                }
            });
        }
    });
    let runs = runs.lock().unwrap();
    let mut by_attempt: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in runs.iter() {
        by_attempt.entry(&run.attempt).or_default().push(run);
    }
    deployment.record.line(&format!("{REQUESTS} requests sent; {} runs", runs.len()));
    for (text, count) in outcomes.lock().unwrap().iter() {
        deployment.record.line(&format!("{count} answered: {text}"));
    }
    let mut above = 0;
    for (attempt, runs) in &by_attempt {
        let replicas: BTreeSet<_> = runs.iter().map(|run| run.replica.as_str()).collect();
        if replicas.len() > MOST_RUNS {
            above += 1;
            let text: Vec<_> = runs
                .iter()
                .map(|run| {
                    format!(
                        "{} ({})",
                        run.replica,
                        if run.is_answered { "whole answer" } else { "answer lost" }
                    )
                })
                .collect();
            deployment.record.line(&format!("request {attempt} ran on {}", text.join(", ")));
            for entry in (1..=ENTRIES).map(|n| format!("edge-{n}")) {
                for line in deployment.log_lines(&entry, attempt) {
                    deployment.record.line(&format!("  log of {entry}: {line}"));
                }
            }
        }
    }
    let text = format!(
        "{above} of {REQUESTS} requests ran on more than {MOST_RUNS} replicas (3 are allowed to)"
    );
    Ok(if above > 3 { Verdict::Broken(text) } else { Verdict::Held(text) })
}

/// The last accounts are removed by a new version.
pub fn accounts(deployment: &mut Deployment, with_trouble: bool) -> Result<Verdict, String> {
    const OTHER_KEY: &str = "jnbanfqasnmgkcuyj8pj";
    let runs = Runs::default();
    start_hosts(deployment, 2)?;
    for number in 1..=2 {
        replica::start(deployment, number, "orders", Work::Plain, &runs)?;
    }
    let routes = [order_route()];
    let both = [tenant("bozi300", KEY), tenant("guma120", OTHER_KEY)];
    deployment.send_manifest(
        &manifest(7, &routes, &[ORDERS], &both),
        3,
        Duration::from_secs(20),
    )?;
    for entry in 1..=2 {
        deployment.wait_ready(entry, Duration::from_secs(20))?;
    }
    wait_served(deployment, Duration::from_secs(15))?;
    let senders = [
        ("the removed key of bozi300", Some(KEY)),
        ("a key that no manifest ever held", Some("aaaabbbbccccddddeeee")),
        ("no key", None),
    ];
    let send_all = |phase: &str| {
        let mut served = Vec::new();
        for (who, key) in senders {
            for n in 0..6_u8 {
                let attempt = attempt_id(&format!("{phase}-{who}-{n}"));
                let answer = send_order(deployment, 1 + n % 2, &attempt, key);
                let run = runs.lock().unwrap().iter().find(|run| run.attempt == attempt).cloned();
                deployment.record.line(&format!(
                    "{phase}: request {attempt} with {who}: {}; {}",
                    outcome(&answer),
                    run.as_ref().map_or("not run".to_owned(), |run| format!(
                        "run by {} for tenant {:?}",
                        run.replica, run.tenant
                    ))
                ));
                if run.is_some() {
                    served.push(who);
                }
            }
        }
        served
    };
    let before = send_all("version 7");
    if before.iter().any(|who| *who != senders[0].0) {
        return Err("a request without a valid key was run before the change".to_owned());
    }
    let left = if with_trouble { Vec::new() } else { vec![tenant("guma120", OTHER_KEY)] };
    deployment.send_manifest(
        &manifest(8, &routes, &[ORDERS], &left),
        3,
        Duration::from_secs(10),
    )?;
    // `config-apply-ms` is 2,000.
    std::thread::sleep(Duration::from_millis(4_000));
    let after = send_all("version 8");
    let text = format!(
        "{} of 18 requests with a removed key, an unknown key or none were run later than 4 s after the confirmation",
        after.len()
    );
    Ok(if after.is_empty() { Verdict::Held(text) } else { Verdict::Broken(text) })
}

/// A control host is killed in the first moments of the first start of the system.
pub fn formation(deployment: &mut Deployment, with_trouble: bool) -> Result<Verdict, String> {
    let runs = Runs::default();
    deployment.start_control(1, true)?;
    if with_trouble {
        std::thread::sleep(Duration::from_millis(150));
        deployment.kill("core-1");
        std::thread::sleep(Duration::from_millis(100));
        // Not the whole system starts now, so `bootstrap` is false.
        deployment.start_control(1, false)?;
    } else {
        std::thread::sleep(Duration::from_millis(250));
    }
    for number in 2..=CONTROLS {
        deployment.start_control(number, true)?;
    }
    for number in 1..=2 {
        deployment.start_entry(number, true)?;
        replica::start(deployment, number, "orders", Work::Plain, &runs)?;
    }
    let content = manifest(7, &[order_route()], &[ORDERS], &[tenant("bozi300", KEY)]);
    let confirmed = deployment.send_manifest(&content, CONTROLS, Duration::from_secs(45));
    if let Err(reason) = &confirmed {
        deployment.record.line(reason);
    }
    let mut served = 0;
    for n in 0..20_u8 {
        let answer =
            send_order(deployment, 1 + n % 2, &attempt_id(&format!("order-{n}")), Some(KEY));
        served += u32::from(answer.as_ref().is_ok_and(|answer| answer.status() == 200));
        deployment.record.line(&format!("order {n}: {}", outcome(&answer)));
        std::thread::sleep(Duration::from_millis(250));
    }
    for (name, status) in deployment.ended() {
        if name != "core-1" {
            deployment.record.line(&format!("{name} ended: {status}"));
        }
    }
    for line in deployment.log_lines("core-2", "voter").iter().take(3) {
        deployment.record.line(&format!("log of core-2: {line}"));
    }
    let text = format!(
        "the manifest was {} within 45 s, and {served} of 20 orders after it were served",
        if confirmed.is_ok() { "confirmed" } else { "not confirmed" }
    );
    Ok(if served == 0 { Verdict::Broken(text) } else { Verdict::Held(text) })
}

/// Replicas are started again, under the ids that they had, with another version of their software. Their first check-in
/// arrives late.
pub fn versions(deployment: &mut Deployment, with_trouble: bool) -> Result<Verdict, String> {
    const STREAMS: usize = 240;
    const WORK: Work = Work::Versioned { events: 40 };
    const REPLICAS: u8 = 4;
    let runs = Runs::default();
    start_hosts(deployment, 2)?;
    let first: Vec<_> = (1..=REPLICAS)
        .map(|number| replica::start(deployment, number, "pool", WORK, &runs))
        .collect::<Result<_, _>>()?;
    let tenants = [tenant("bozi300", KEY)];
    let content = manifest(7, &[stream_route(1)], &[ENGINE], &tenants);
    deployment.send_manifest(&content, 3, Duration::from_secs(20))?;
    for entry in 1..=2 {
        deployment.wait_ready(entry, Duration::from_secs(20))?;
    }
    std::thread::sleep(Duration::from_secs(14));
    let mixed = Mutex::new(0);
    let whole = Mutex::new(0);
    let shared: &Deployment = deployment;
    std::thread::scope(|scope| {
        for n in 0..STREAMS {
            let (mixed, whole) = (&mixed, &whole);
            scope.spawn(move || {
                std::thread::sleep(Duration::from_millis(10 * n as u64));
                let events = take_stream(shared, n);
                let versions: BTreeSet<_> =
                    events.iter().filter_map(|e| e.split('-').next()).collect();
                if versions.len() > 1 {
                    *mixed.lock().unwrap() += 1;
                }
                if events.len() == 40 {
                    *whole.lock().unwrap() += 1;
                }
                shared.record.line(&format!("stream {n} holds {}", summary(&events)));
            });
        }
        std::thread::sleep(Duration::from_millis(1_900));
        first[0].end();
        std::thread::sleep(Duration::from_millis(200));
        let (version, late) = if with_trouble { ("v2", 2_000) } else { ("v1", 0) };
        let late = Duration::from_millis(late);
        let started = replica::start_version(shared, 1, "pool", WORK, &runs, version, late);
        if let Err(reason) = started {
            shared.record.line(&format!("replica 1 did not start: {reason}"));
        }
    });
    let (mixed, whole) = (*mixed.lock().unwrap(), *whole.lock().unwrap());
    let text = format!(
        "{mixed} of {STREAMS} streams hold events of two versions (2 are allowed to); {whole} have all events"
    );
    if !with_trouble && whole < STREAMS / 2 {
        return Err(format!("without the disruption few streams ended; {text}"));
    }
    Ok(if mixed > 2 { Verdict::Broken(text) } else { Verdict::Held(text) })
}

/// Takes a stream as a client does: after a broken connection it takes it up with `Last-Event-Id` and `Resumes`, and it
/// honours `Retry-After`. Returns the data of the events.
fn take_stream(deployment: &Deployment, n: usize) -> Vec<String> {
    let until = Instant::now() + Duration::from_millis(8_000);
    let mut events: Vec<String> = Vec::new();
    let mut first_attempt: Option<String> = None;
    for attempt_number in 0..5_usize {
        let attempt = attempt_id(&format!("stream-{n}-{attempt_number}"));
        let mut more = Vec::new();
        if let Some(first) = &first_attempt {
            more.push(("Last-Event-Id", events.len().to_string()));
            more.push(("Resumes", first.clone()));
        }
        // Retries reach other machines.
        let entry = if attempt_number == 0 { 1 } else { 2 };
        let answer = send_stream(deployment, entry, &attempt, &more);
        deployment.record.line(&format!(
            "stream {n}, attempt {attempt} at edge-{entry} after event {}: {}",
            events.len(),
            match &answer {
                Ok(answer) =>
                    format!("{}{}", answer.status(), if answer.is_complete { "" } else { ", cut" }),
                Err(reason) => reason.clone(),
            }
        ));
        let mut pause = Duration::from_millis(300 + 10 * (n as u64 % 60));
        if let Ok(answer) = &answer {
            if answer.status() == 200 {
                let text = answer.text();
                // Only complete events count.
                let complete = text.rfind("\n\n").map_or("", |end| &text[..end + 2]);
                events.extend(
                    complete
                        .lines()
                        .filter_map(|line| line.strip_prefix("data: "))
                        .map(str::to_owned),
                );
                if first_attempt.is_none() && !events.is_empty() {
                    first_attempt = Some(attempt);
                }
                if answer.is_complete {
                    return events;
                }
            } else if let Some(after) =
                answer.header("retry-after").and_then(|v| v.parse::<f64>().ok())
            {
                pause = Duration::from_secs_f64(after);
            }
        }
        if Instant::now() + pause > until {
            break;
        }
        std::thread::sleep(pause);
    }
    events
}

/// Lists the events by version, such as `v1: 1 to 23, v2: 24 to 40`.
fn summary(events: &[String]) -> String {
    let mut parts: Vec<(&str, &str, &str)> = Vec::new();
    for (version, number) in events.iter().filter_map(|event| event.split_once('-')) {
        match parts.last_mut() {
            Some((last_version, _, last)) if *last_version == version => *last = number,
            _ => parts.push((version, number, number)),
        }
    }
    let parts: Vec<_> = parts
        .iter()
        .map(|(version, first, last)| format!("{version}: {first} to {last}"))
        .collect();
    parts.join(", ")
}

/// A request that crashes the replicas that run it comes several times at a moment, at different machines, and again later.
pub fn copies(deployment: &mut Deployment, with_trouble: bool) -> Result<Verdict, String> {
    const ENTRIES: u8 = 6;
    const REPLICAS: u8 = 9;
    let contact = Duration::from_millis(3_000);
    let runs = Runs::default();
    start_hosts(deployment, ENTRIES)?;
    for number in 1..=REPLICAS {
        replica::start(deployment, number, "orders", Work::Plain, &runs)?;
    }
    let tenants = [tenant("bozi300", KEY)];
    let content = manifest(7, &[order_route()], &[ORDERS], &tenants);
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
                    let answer = send_order(shared, 1 + n, &attempt, Some(KEY));
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
    let begun: Vec<_> =
        runs.iter().filter(|run| run.attempt.starts_with('d')).map(|run| run.begun).collect();
    let Some(third) = begun.get(2) else {
        return Ok(Verdict::Held(format!("only {} deadly requests were run", begun.len())));
    };
    let late = begun.iter().filter(|at| **at > *third + contact).count();
    let text = format!(
        "{late} retries of a request that crashes replicas reached replicas later than 3 s after its third crash (3 are \
         allowed to); {} runs in all",
        begun.len()
    );
    Ok(if late > 3 { Verdict::Broken(text) } else { Verdict::Held(text) })
}

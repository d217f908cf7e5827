//! The commands of operators against a host: what they print, and their exit status.

#![allow(clippy::unwrap_used)]

mod support;

use insta::assert_snapshot;
use support::{Deployment, losing_proxy, masticstair};

struct Case {
    /// Which failure the case guards against.
    name: &'static str,
    operator: &'static str,
    args: Vec<String>,
    status: i32,
    /// What standard error has to contain.
    expect: &'static [&'static str],
}

fn cases(deployment: &Deployment) -> Vec<Case> {
    let rolled = deployment.roll("anna", "v1");
    let (file, unsigned) = deployment.bundle("v2");
    let file = file.display().to_string();
    assert_eq!(deployment.run("carl", &["bundle", "submit", &file]).status, 0);
    let broken = deployment.folder.path().join("broken.toml").display().to_string();
    std::fs::write(&broken, "version = \"v9\"\ncolour = 1\n[limits]\nhosts = 0\n").unwrap();
    let case = |name, operator, args: &[&str], status, expect| {
        let args = args.iter().map(|arg| (*arg).to_owned()).collect();
        Case { name, operator, args, status, expect }
    };
    vec![
        case(
            "a roll without a sign-off is done, or the operator is not told what is missing",
            "anna",
            &["bundle", "roll", &unsigned],
            1,
            &["not-signed-off", "masticstair bundle sign-off SHA256"],
        ),
        case(
            "the loser of a race is not told who won",
            "carl",
            &["bundle", "sign-off", "--expect", "0", &rolled],
            1,
            &["revision-moved", "revision 0 was expected, but revision 1", "rolled by anna"],
        ),
        case(
            "only the first error of an invalid bundle is printed",
            "anna",
            &["bundle", "submit", &broken],
            1,
            &["bundle-invalid", "limits.hosts: value 0", "key colour is unknown"],
        ),
        case(
            "a missing file looks like a refusal",
            "anna",
            &["bundle", "submit", "missing.toml"],
            2,
            &["missing.toml: No such file"],
        ),
        case(
            "a usage error looks like a refusal",
            "anna",
            &["bundle", "sign-off", "xyz"],
            2,
            &["a SHA-256 digest has 64 hexadecimal digits"],
        ),
    ]
}

/// Guards against an exit status that does not tell a refusal from an error, and against messages that do
/// not say what to do next.
#[test]
fn errors_say_what_to_do_next() {
    let deployment = Deployment::start();
    for case in cases(&deployment) {
        let args: Vec<&str> = case.args.iter().map(String::as_str).collect();
        let run = deployment.run(case.operator, &args);
        assert_eq!(run.status, case.status, "{}: {run:?}", case.name);
        for text in case.expect {
            assert!(run.stderr.contains(text), "{}: {text:?} is not in {run:#?}", case.name);
        }
    }
}

/// Guards against output that changes without notice.
#[test]
fn a_bundle_from_key_to_history() {
    let deployment = Deployment::start();
    let key = deployment.folder.path().join("new.key").display().to_string();
    let made = masticstair(&["key", "new", "--signer", "dora", "--out", &key]);
    assert_eq!(made.status, 0, "{made:?}");
    assert_eq!(masticstair(&["key", "show", &key]).stdout, made.stdout);
    assert_eq!(masticstair(&["key", "new", "--signer", "dora", "--out", &key]).status, 2);
    deployment.roll("anna", "v1");
    let (file, sha256) = deployment.bundle("v2");
    let file = file.display().to_string();
    let mut log = String::new();
    let steps: [&[&str]; 7] = [
        &["bundle", "submit", &file],
        &["bundle", "diff", &sha256],
        &["bundle", "sign-off", &sha256],
        &["bundle", "roll", "--wait", &sha256],
        &["bundle", "status"],
        &["bundle", "history"],
        &["bundle", "history", "--limit", "1"],
    ];
    let check = masticstair(&["bundle", "check", &file]);
    log.push_str(&format!("$ check\n{}", check.stdout));
    for step in steps {
        let run = deployment.run("carl", step);
        assert_eq!(run.status, 0, "{run:?}");
        log.push_str(&format!("$ {}\n{}{}", step.join(" "), run.stderr, run.stdout));
    }
    assert_snapshot!("from_key_to_history", deployment.stable(&log));
    let shown = deployment.run("carl", &["bundle", "show", &sha256]).stdout;
    assert_eq!(shown, std::fs::read_to_string(&file).unwrap());
}

/// Guards against a command that is given twice, or reported as failed, when its answers are lost: the
/// command line sends the same id again, and says so.
#[test]
fn a_lost_answer_is_asked_for_again() {
    let deployment = Deployment::start();
    let (file, sha256) = deployment.bundle("v1");
    let file = file.display().to_string();
    assert_eq!(deployment.run("anna", &["bundle", "submit", &file]).status, 0);
    assert_eq!(deployment.run("anna", &["bundle", "sign-off", &sha256]).status, 0);
    let proxy = losing_proxy(deployment.addr, 2);
    let run = deployment.run_at("anna", &[proxy], &["bundle", "roll", &sha256]);
    assert_eq!(run.status, 0, "{run:?}");
    assert_eq!(run.stderr.matches("outcome unknown").count(), 2, "{run:?}");
    assert!(run.stdout.contains("is in force as revision 1."), "{run:?}");
    let history = deployment.run("anna", &["bundle", "history"]);
    assert!(history.stdout.contains("Revision in force: 1"), "{history:?}");
}

/// Guards against "refused" for a command that took effect: when every answer is lost, the exit status is 3,
/// and the printed options give the outcome later.
#[test]
fn a_command_whose_answers_are_all_lost_has_an_unknown_outcome() {
    let deployment = Deployment::start();
    let (file, _) = deployment.bundle("v1");
    let file = file.display().to_string();
    let proxy = losing_proxy(deployment.addr, usize::MAX);
    let run = deployment.run_at("anna", &[proxy], &["bundle", "submit", &file]);
    assert_eq!(run.status, 3, "{run:?}");
    let advice = run.stderr.lines().last().unwrap().split("Send it again with: ").last().unwrap();
    let again: Vec<&str> =
        ["bundle", "submit", &file].into_iter().chain(advice.split(' ')).collect();
    let known = deployment.run("anna", &again);
    assert_eq!(known.status, 0, "{known:?}");
    assert!(known.stdout.contains("Version v1 is stored"), "{known:?}");
}

/// Guards against a command that gives up at the first host, and against an unknown outcome for a command
/// that certainly did not leave.
#[test]
fn the_next_host_is_tried_when_one_does_not_answer() {
    let deployment = Deployment::start();
    let unused = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let (file, _) = deployment.bundle("v1");
    let submit = ["bundle", "submit", &file.display().to_string()];
    let run = deployment.run_at("anna", &[unused, deployment.addr], &submit);
    assert_eq!(run.status, 0, "{run:?}");
    assert!(!run.stderr.contains("unknown"), "{run:?}");
    let none =
        deployment.run_at("anna", &[unused], &[submit.as_slice(), &["--expect", "0"]].concat());
    assert_eq!(none.status, 1, "{none:?}");
    assert!(none.stderr.contains("nothing was done"), "{none:?}");
    let status =
        deployment.run_at("anna", &[unused, deployment.addr], &["status", "--format", "json"]);
    let report: serde_json::Value = serde_json::from_str(&status.stdout).unwrap();
    assert_eq!(report["deployment"], "t");
}

//! Settings files: complete error reports, and checks across hosts.

#![allow(clippy::unwrap_used)]

use masticstair_host::settings::{Settings, cross_check};
use std::path::Path;

const VALID: &str = "deployment = \"d\"\nhost = \"h1\"\nregion = \"r\"\ndata_centre = \"dc1\"\n\
                     listen = \"127.0.0.1:1\"\npeer_listen = \"127.0.0.1:2\"\n";

/// Guards against errors that don't name the key and value or hide other errors, and against unknown keys
/// that are silently ignored.
#[test]
fn all_errors_are_reported_with_key_value_and_allowed_values() {
    struct Case {
        name: &'static str,
        text: String,
        errors: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "everything is missing",
            text: String::new(),
            errors: &[
                "key deployment is missing",
                "key host is missing",
                "key region is missing",
                "key data_centre is missing",
                "key listen is missing",
                "key peer_listen is missing",
            ],
        },
        Case {
            name: "several errors in several tables",
            text: format!(
                "{VALID}workers = 0\nlog_level = \"loud\"\nseeds = [\"here\"]\nbanana = 1\n\
                 [bounds]\nhead_bytes = 1\n"
            ),
            errors: &[
                "key workers: value 0 is not allowed: a whole number from 1 to 256",
                "key seeds: value \"here\" is not allowed",
                "key bounds.head_bytes: value 1 is not allowed: a whole number from 8192 to 1048576",
                "key log_level: value \"loud\" is not allowed: debug, info, warning or error",
                "key banana is unknown",
            ],
        },
        Case {
            name: "a duplicate voter",
            text: format!("{VALID}initial_voters = [\"a\", \"a\"]\n"),
            errors: &["key initial_voters: value with a name twice is not allowed"],
        },
        Case {
            name: "too many voters",
            text: format!(
                "{VALID}initial_voters = [\"a\", \"b\", \"c\", \"d\", \"e\", \"f\", \"g\", \"h\"]\n"
            ),
            errors: &["value of 8 hosts is not allowed: at most 7 hosts"],
        },
        Case { name: "not TOML", text: "deployment = ".into(), errors: &["TOML parse error"] },
    ];
    for case in cases {
        let errors = Settings::parse(&case.text).unwrap_err().to_string();
        for expected in case.errors {
            assert!(errors.contains(expected), "{}: {expected:?} not in {errors}", case.name);
        }
    }
}

/// Guards against placements and differences between hosts that would only show when a data centre is lost.
#[test]
fn settings_of_several_hosts_are_checked_together() {
    struct Case {
        name: &'static str,
        hosts: &'static [(&'static str, &'static str, &'static str)],
        warnings: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "spread over data centres",
            hosts: &[
                ("h1", "dc1", "h1 h2 h3"),
                ("h2", "dc2", "h1 h2 h3"),
                ("h3", "dc3", "h1 h2 h3"),
            ],
            warnings: &[],
        },
        Case {
            name: "a quorum in one data centre",
            hosts: &[
                ("h1", "dc1", "h1 h2 h3"),
                ("h2", "dc1", "h1 h2 h3"),
                ("h3", "dc3", "h1 h2 h3"),
            ],
            warnings: &["data centre dc1 holds 2 of 3 voters"],
        },
        Case {
            name: "different voters and a duplicate host",
            hosts: &[("h1", "dc1", "h1 h2 h3"), ("h1", "dc2", "h1")],
            warnings: &[
                "host h1 has more than one",
                "initial_voters of host h1 differ from those of the other hosts",
            ],
        },
    ];
    for case in cases {
        let all: Vec<Settings> = case.hosts.iter().map(|h| settings(h.0, h.1, h.2)).collect();
        let warnings = cross_check(&all);
        assert_eq!(warnings.len(), case.warnings.len(), "{}: {warnings:?}", case.name);
        for (warning, expected) in warnings.iter().zip(case.warnings) {
            assert!(warning.contains(expected), "{}: {warnings:?}", case.name);
        }
    }
}

fn settings(host: &str, data_centre: &str, voters: &str) -> Settings {
    let voters: Vec<String> = voters.split(' ').map(|v| format!("{v:?}")).collect();
    let text = VALID
        .replace("\"h1\"", &format!("{host:?}"))
        .replace("\"dc1\"", &format!("{data_centre:?}"));
    Settings::parse(&format!("{text}initial_voters = [{}]\n", voters.join(", "))).unwrap()
}

/// Guards against example files that the current release refuses or warns about.
#[test]
fn the_examples_are_valid_without_a_warning() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for deployment in ["trepiserv", "council"] {
        let folder = examples.join(deployment);
        let hosts = 1..=7;
        let all: Vec<Settings> = hosts
            .map(|i| Settings::load(&folder.join(format!("hosts/h{i}.toml"))).unwrap())
            .collect();
        for cfg in &all {
            assert_eq!(cfg.warnings(), Vec::<Box<str>>::new(), "{deployment} {}", cfg.host);
        }
        assert_eq!(cross_check(&all), Vec::<Box<str>>::new(), "{deployment}");
        let bundle = std::fs::read_to_string(folder.join("bundle.toml")).unwrap();
        bundle.parse::<masticstair_core::bundle::Bundle>().unwrap();
    }
}

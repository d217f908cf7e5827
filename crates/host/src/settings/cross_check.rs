//! Checks the settings of several hosts of a deployment against each other.

use masticstair_core::prelude::*;
use std::collections::{BTreeMap, HashSet};

use super::Settings;

/// Returns a warning for each inconsistency between the settings of several hosts.
pub fn cross_check(all: &[Settings]) -> Vec<Box<str>> {
    let mut warnings = Vec::new();
    let Some(first) = all.first() else { return warnings };
    let mut hosts = HashSet::new();
    for cfg in all {
        let host = &cfg.host;
        if !hosts.insert(host) {
            warnings.push(format!("host {host} has more than one settings file").into());
        }
        if cfg.deployment != first.deployment {
            let (a, b) = (&cfg.deployment, &first.deployment);
            warnings.push(
                format!("host {host} belongs to deployment {a}, the first host to {b}").into(),
            );
        }
        if !cfg.initial_voters.is_empty() && cfg.initial_voters != voters(all) {
            let warning =
                format!("initial_voters of host {host} differ from those of the other hosts");
            warnings.push(warning.into());
        }
        if !same_operators(cfg, first) {
            // The voters verify the first bundle with these keys and must reach the same result.
            let warning =
                format!("operators of host {host} differ from those of host {}", first.host);
            warnings.push(warning.into());
        }
    }
    warnings.extend(check_placement(all));
    warnings
}

/// Returns the `initial_voters` of the first host that names any.
fn voters(all: &[Settings]) -> Vec<HostId> {
    let named = all.iter().find(|cfg| !cfg.initial_voters.is_empty());
    named.map(|cfg| cfg.initial_voters.clone()).unwrap_or_default()
}

fn same_operators(a: &Settings, b: &Settings) -> bool {
    let list = |cfg: &Settings| {
        let mut keys: Vec<_> =
            cfg.operators.iter().map(|o| (o.name.clone(), o.key.to_string())).collect();
        keys.sort();
        keys
    };
    list(a) == list(b)
}

/// Warns if one data centre holds a quorum of the voters, because its loss stops the replicated log.
fn check_placement(all: &[Settings]) -> Vec<Box<str>> {
    let voters = voters(all);
    let quorum = voters.len() / 2 + 1;
    let mut by_data_centre: BTreeMap<&DataCentreId, usize> = BTreeMap::new();
    for cfg in all.iter().filter(|cfg| voters.contains(&cfg.host)) {
        *by_data_centre.entry(&cfg.data_centre).or_default() += 1;
    }
    let holds_quorum = by_data_centre.into_iter().filter(|(_, count)| *count >= quorum);
    holds_quorum
        .map(|(data_centre, count)| {
            format!(
                "data centre {data_centre} holds {count} of {} voters, which is a quorum: its loss stops \
                 run-once calls and configuration changes",
                voters.len()
            )
            .into()
        })
        .collect()
}

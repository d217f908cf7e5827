//! The difference between two bundles, for the command line.

use masticstair_core::bundle::{Bundle, StageKind};
use std::collections::BTreeMap;
use std::fmt::{Debug, Display};

use super::TableDiff;

/// Returns the tables in which two bundles differ, in the order of the bundle. The order of the entries
/// within a table is ignored.
pub fn diff_bundles(old: &Bundle, new: &Bundle) -> Vec<TableDiff> {
    let pools = |b: &Bundle, services: bool| {
        let is_service = move |kind| (kind == StageKind::Service) == services;
        describe(b.pools.iter().filter(|p| is_service(p.kind)), |p| &p.name)
    };
    let tables = [
        (
            "version",
            describe([&old.version], |_| "version"),
            describe([&new.version], |_| "version"),
        ),
        ("signers", describe(&old.signers, |s| &s.name), describe(&new.signers, |s| &s.name)),
        ("models", describe(&old.models, |m| &m.name), describe(&new.models, |m| &m.name)),
        ("pools", pools(old, false), pools(new, false)),
        ("services", pools(old, true), pools(new, true)),
        ("pipelines", describe(&old.pipelines, |p| &p.name), describe(&new.pipelines, |p| &p.name)),
        ("accounts", describe(&old.accounts, |a| &a.id), describe(&new.accounts, |a| &a.id)),
        ("limits", describe([&old.limits], |_| "limits"), describe([&new.limits], |_| "limits")),
    ];
    let diffs = tables.iter().map(|(table, old, new)| diff_tables(table, old, new));
    diffs.filter(|d| !d.is_empty()).collect()
}

/// Maps the name of each entry to its debug representation. This covers every field, so a field that is
/// added later is compared as well.
fn describe<'a, T: Debug + 'a, N: Display + ?Sized + 'a>(
    entries: impl IntoIterator<Item = &'a T>,
    name: impl Fn(&'a T) -> &'a N,
) -> BTreeMap<Box<str>, String> {
    entries.into_iter().map(|e| (name(e).to_string().into(), format!("{e:?}"))).collect()
}

fn diff_tables(
    table: &str,
    old: &BTreeMap<Box<str>, String>,
    new: &BTreeMap<Box<str>, String>,
) -> TableDiff {
    let only_in = |a: &BTreeMap<Box<str>, String>, b: &BTreeMap<Box<str>, String>| {
        a.keys().filter(|k| !b.contains_key(*k)).cloned().collect()
    };
    let differs = |name: &str| old.get(name).is_some_and(|v| new.get(name) != Some(v));
    TableDiff {
        table: table.into(),
        added: only_in(new, old),
        removed: only_in(old, new),
        changed: new.keys().filter(|name| differs(name)).cloned().collect(),
    }
}

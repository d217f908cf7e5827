//! The lease and the fencing token of the order issuer.

#![allow(clippy::unwrap_used)]

use masticstair_core::id::FencingToken;
use masticstair_core::prelude::*;
use masticstair_policy::issuer::{
    Holder, IssuerCommand, IssuerLease, IssuerReply, IssuerTable, LeaseTiming, MAX_GROUPS,
    RenewalCount,
};
use proptest::prelude::*;

struct Case {
    name: &'static str,
    before: Vec<IssuerCommand>,
    cmd: IssuerCommand,
    reply: IssuerReply,
}

fn holder(host: &str, incarnation: u64) -> Holder {
    Holder { host: host.parse().unwrap(), incarnation: Incarnation::new(incarnation) }
}

fn acquire(host: &str, incarnation: u64, observed: Option<u64>) -> IssuerCommand {
    let (group, holder) = ("engines".parse().unwrap(), holder(host, incarnation));
    IssuerCommand::Acquire { group, holder, observed_renewals: observed.map(RenewalCount::new) }
}

fn renew(host: &str, fencing: u64) -> IssuerCommand {
    let (group, holder) = ("engines".parse().unwrap(), holder(host, 1));
    IssuerCommand::Renew { group, holder, fencing: FencingToken::new(fencing) }
}

fn release(host: &str, fencing: u64) -> IssuerCommand {
    let (group, holder) = ("engines".parse().unwrap(), holder(host, 1));
    IssuerCommand::Release { group, holder, fencing: FencingToken::new(fencing) }
}

fn lease(host: Option<(&str, u64)>, fencing: u64, renewals: u64) -> IssuerLease {
    IssuerLease {
        holder: host.map(|(host, incarnation)| holder(host, incarnation)),
        fencing: FencingToken::new(fencing),
        renewals: RenewalCount::new(renewals),
    }
}

/// Guards against two issuers at a time, and against a fencing token that decreases or is granted twice.
#[test]
#[rustfmt::skip]
fn every_command_has_its_reply() {
    use IssuerReply::{Granted, Refused, Released};
    let a = || acquire("a", 1, None);
    let cases = [
        Case { name: "free", before: vec![], cmd: a(), reply: Granted(lease(Some(("a", 1)), 1, 1)) },
        Case { name: "resent by the holder", before: vec![a()], cmd: a(), reply: Granted(lease(Some(("a", 1)), 1, 2)) },
        Case { name: "held, nothing observed", before: vec![a()], cmd: acquire("b", 1, None), reply: Refused(lease(Some(("a", 1)), 1, 1)) },
        Case { name: "held, observed unchanged", before: vec![a()], cmd: acquire("b", 1, Some(1)), reply: Granted(lease(Some(("b", 1)), 2, 2)) },
        Case { name: "held, renewed during the observation", before: vec![a(), renew("a", 1)], cmd: acquire("b", 1, Some(1)), reply: Refused(lease(Some(("a", 1)), 1, 2)) },
        Case { name: "resent acquire ends the observation", before: vec![a(), a()], cmd: acquire("b", 1, Some(1)), reply: Refused(lease(Some(("a", 1)), 1, 2)) },
        Case { name: "two challengers with one count", before: vec![a(), acquire("b", 1, Some(1))], cmd: acquire("c", 1, Some(1)), reply: Refused(lease(Some(("b", 1)), 2, 2)) },
        Case { name: "restarted holder must observe", before: vec![a()], cmd: acquire("a", 2, None), reply: Refused(lease(Some(("a", 1)), 1, 1)) },
        Case { name: "renew", before: vec![a()], cmd: renew("a", 1), reply: Granted(lease(Some(("a", 1)), 1, 2)) },
        Case { name: "renew after a takeover", before: vec![a(), acquire("b", 1, Some(1))], cmd: renew("a", 1), reply: Refused(lease(Some(("b", 1)), 2, 2)) },
        Case { name: "renew with an old token", before: vec![a(), release("a", 1), a()], cmd: renew("a", 1), reply: Refused(lease(Some(("a", 1)), 2, 3)) },
        Case { name: "release", before: vec![a()], cmd: release("a", 1), reply: Released(lease(None, 1, 2)) },
        Case { name: "release resent", before: vec![a(), release("a", 1)], cmd: release("a", 1), reply: Released(lease(None, 1, 2)) },
        Case { name: "late release of an old token", before: vec![a(), release("a", 1), a()], cmd: release("a", 1), reply: Refused(lease(Some(("a", 1)), 2, 3)) },
        Case { name: "token increases after a release", before: vec![a(), release("a", 1)], cmd: acquire("b", 1, None), reply: Granted(lease(Some(("b", 1)), 2, 3)) },
    ];
    for case in cases {
        let mut table = IssuerTable::default();
        for cmd in &case.before {
            table.apply(cmd);
        }
        assert_eq!(table.apply(&case.cmd), case.reply, "{}", case.name);
    }
}

/// Guards against a table that grows without limit with the group names it receives.
#[test]
fn groups_are_bounded() {
    let mut table = IssuerTable::default();
    let acquire = |i: usize| IssuerCommand::Acquire {
        group: format!("pool-{i}").parse().unwrap(),
        holder: holder("a", 1),
        observed_renewals: None,
    };
    (0..MAX_GROUPS).for_each(|i| drop(table.apply(&acquire(i))));
    assert_eq!(table.apply(&acquire(MAX_GROUPS)), IssuerReply::Full(MAX_GROUPS as u32));
    assert!(matches!(table.apply(&acquire(0)), IssuerReply::Granted(_)));
}

/// Guards against a challenge while the holder still issues orders: the holder's clock may be slower and the
/// challenger's faster by half the tolerated drift each.
#[test]
fn a_challenge_comes_after_the_lease_on_drifting_clocks() {
    for lease in [1_u64, 7, 1_000, 60_000] {
        let timing =
            LeaseTiming { lease_duration: Millis::new(lease), max_order_duration: Millis::new(0) };
        let held = timing.holder_deadline(Timestamp::new(0)).get() as f64;
        let challenged = timing.earliest_challenge(Timestamp::new(0)).get() as f64;
        assert!(challenged * 0.9955 > held * 1.0045, "lease {lease} ms: {challenged} after {held}");
    }
}

proptest! {
    /// Guards against a fencing token that two holders share or that decreases, for any order of commands.
    #[test]
    fn tokens_only_increase(steps in prop::collection::vec((0..3_u8, 0..3_usize, 0..6_u64), 1..60)) {
        let (mut table, mut last) = (IssuerTable::default(), lease(None, 0, 0));
        for (kind, host, number) in steps {
            let host = ["a", "b", "c"][host];
            table.apply(&match kind {
                0 => acquire(host, 1, Some(number)),
                1 => renew(host, number),
                _ => release(host, number),
            });
            let now = table.lease(&"engines".parse().unwrap());
            prop_assert!(now.fencing >= last.fencing && now.renewals >= last.renewals);
            if now.holder.is_some() && now.holder != last.holder {
                prop_assert!(now.fencing > last.fencing);
            }
            last = now;
        }
    }
}

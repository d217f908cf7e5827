//! The memory of answers.

use masticstair_core::unit::ByteCount;
use masticstair_policy::answer_room::may_grow;

/// Guards against answers that together exceed the memory of a host, and against large ones that leave no room for
/// others.
#[test]
fn answers_share_the_memory() {
    const KIB: u64 = 1 << 10;
    const MIB: u64 = 1 << 20;
    struct Case {
        name: &'static str,
        held: u64,
        from: u64,
        to: u64,
        may_grow: bool,
    }
    let cases = [
        Case { name: "the first bytes", held: 0, from: 0, to: KIB, may_grow: true },
        Case {
            name: "one large answer",
            held: 8 * MIB,
            from: 8 * MIB,
            to: 16 * MIB,
            may_grow: true,
        },
        Case {
            name: "large answers fill it",
            held: 32 * MIB,
            from: 0,
            to: 65 * KIB,
            may_grow: false,
        },
        Case {
            name: "a small one beside them",
            held: 32 * MIB,
            from: 0,
            to: 64 * KIB,
            may_grow: true,
        },
        Case { name: "its end", held: 48 * MIB, from: 0, to: 1, may_grow: false },
        Case { name: "an answer shrinks", held: 48 * MIB, from: MIB, to: KIB, may_grow: true },
    ];
    for case in cases {
        let [held, from, to] = [case.held, case.from, case.to].map(ByteCount::new);
        assert_eq!(may_grow(held, from, to), case.may_grow, "{}", case.name);
    }
}

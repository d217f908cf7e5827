use masticstair_core::id::Incarnation;

/// What a merged record did.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MergeOutcome {
    /// It was known, or older than what is known.
    Unchanged,
    /// It replaced what was known.
    Changed,
    /// It suspected this host, which raised its own record to refute that.
    Refuted,
    /// It names a later life of this host: another process took its place, or its incarnation was chosen
    /// too low. A process that goes on needs an incarnation above this one.
    Superseded(Incarnation),
}

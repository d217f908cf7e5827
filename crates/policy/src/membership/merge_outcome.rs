use masticstair_core::id::Incarnation;

/// The effect of a merged record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MergeOutcome {
    /// The record was known, or older than the known one.
    Unchanged,
    /// The record replaced the known one, or was the first of its host.
    Changed,
    /// The record declared this host suspect or failed; the host refuted that in its record.
    Refuted,
    /// The record has a later incarnation of this host: another process replaced this one, or this one chose
    /// its incarnation too low. To continue, the process needs an incarnation above the contained one.
    Superseded(Incarnation),
}

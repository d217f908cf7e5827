use masticstair_policy::bundle_history::RevisionEntry;

/// The revision in force with all that a host needs to verify and apply it.
#[derive(Clone, Debug, PartialEq)]
pub struct RevisionInForce {
    /// The revision with its signatures.
    pub revision: RevisionEntry,
    /// The contents of the bundle; their SHA-256 digest is that of the revision.
    pub content: Box<str>,
}

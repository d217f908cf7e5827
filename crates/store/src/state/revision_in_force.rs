use masticstair_policy::bundle_history::RevisionEntry;

/// The revision in force, as a host needs it to check it and to put it in force.
#[derive(Clone, Debug, PartialEq)]
pub struct RevisionInForce {
    /// The revision with its signatures.
    pub revision: RevisionEntry,
    /// The content; its digest is that of the revision.
    pub content: Box<str>,
}

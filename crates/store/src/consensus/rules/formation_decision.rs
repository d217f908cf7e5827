use masticstair_core::id::Term;
use masticstair_core::message::VoterSet;

/// The next action of a replica with an empty log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FormationDecision {
    /// Form the group with this initial set.
    Form {
        /// The initial voters, sorted by host.
        voters: Box<VoterSet>,
        /// The term of the first entry, above the term of every answer.
        term: Term,
    },
    /// Announce this replica and wait to be added as a learner: the group exists, or this host is not an
    /// initial voter.
    Join,
    /// Ask again: an initial voter has not answered, or another host forms the group.
    Wait,
}

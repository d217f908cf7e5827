use masticstair_core::id::Term;
use masticstair_core::message::VoterSet;

/// What a replica with an empty log does.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FormationDecision {
    /// Form the group with this first set in this term.
    Form {
        /// The first voters, sorted by host.
        voters: Box<VoterSet>,
        /// The term of the first entry, above every term that was answered.
        term: Term,
    },
    /// Announce itself and wait to be added as a learner: the group exists, or this host is not an
    /// initial voter.
    Join,
    /// Ask again: an initial voter has not answered, or another one forms the group.
    Wait,
}

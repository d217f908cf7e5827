//! The protocol rules as pure functions, without I/O or a clock.

mod append_decision;
mod append_view;
mod change_error;
mod check_append;
mod check_change;
mod decide_formation;
mod formation_answer;
mod formation_decision;
mod grant_vote;
mod member_view;
mod membership_view;
mod new_commit_index;
mod plan_change;
mod quorum;
mod vote_decision;
mod vote_view;

pub(crate) use append_decision::AppendDecision;
pub(crate) use append_view::AppendView;
pub use change_error::ChangeError;
pub(crate) use check_append::check_append;
pub(crate) use check_change::check_change;
pub use decide_formation::decide_formation;
pub use formation_answer::FormationAnswer;
pub use formation_decision::FormationDecision;
pub(crate) use grant_vote::grant_vote;
pub(crate) use member_view::MemberView;
pub(crate) use membership_view::MembershipView;
pub(crate) use new_commit_index::new_commit_index;
pub(crate) use plan_change::plan_change;
pub(crate) use quorum::{has_quorum, quorum_index};
pub(crate) use vote_decision::VoteDecision;
pub(crate) use vote_view::VoteView;

#[cfg(test)]
mod tests;

use masticstair_core::id::{LogIndex, Term};
use masticstair_core::message::AppendRequest;

use super::{AppendDecision, AppendView};

/// Checks the entries of an append against the log.
pub(crate) fn check_append(view: &AppendView<'_>, req: &AppendRequest) -> AppendDecision {
    if !is_consecutive(req) {
        return AppendDecision::Malformed;
    }
    if req.prev_index > view.last_index {
        return AppendDecision::Mismatch { retry_from: LogIndex::new(view.last_index.get() + 1) };
    }
    if !agrees(view, req.prev_index, req.prev_term) {
        return match req.prev_index <= view.commit_index {
            true => AppendDecision::Diverged { at: req.prev_index },
            false => AppendDecision::Mismatch { retry_from: start_of_term(view, req.prev_index) },
        };
    }
    let held = |index, term| index <= view.last_index && agrees(view, index, term);
    let first_new = req.entries.iter().position(|e| !held(e.index, e.term));
    let new_from = first_new.unwrap_or(req.entries.len());
    match req.entries.get(new_from) {
        Some(e) if e.index <= view.commit_index => AppendDecision::Diverged { at: e.index },
        _ => AppendDecision::Accept { new_from },
    }
}

/// Returns whether the indexes are consecutive, terms do not decrease, and none exceeds the leader's
/// term.
fn is_consecutive(req: &AppendRequest) -> bool {
    let mut before = (req.prev_index.get(), req.prev_term);
    req.entries.iter().all(|e| {
        let follows = e.index.get() == before.0 + 1 && e.term >= before.1 && e.term <= req.term;
        before = (e.index.get(), e.term);
        follows
    })
}

/// Returns whether the log holds an entry of this index and term. Entries before the base are committed
/// and always match.
fn agrees(view: &AppendView<'_>, index: LogIndex, term: Term) -> bool {
    index < view.base_index || (view.term_at)(index) == Some(term)
}

/// Returns the first uncommitted index with the same term as `index`, so that the leader skips that
/// whole term.
fn start_of_term(view: &AppendView<'_>, index: LogIndex) -> LogIndex {
    let term = (view.term_at)(index);
    let mut first = index;
    while first.get() > view.commit_index.get() + 1
        && (view.term_at)(LogIndex::new(first.get() - 1)) == term
    {
        first = LogIndex::new(first.get() - 1);
    }
    first
}

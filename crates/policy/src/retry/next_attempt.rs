use super::backoff::backoff;
use super::{AttemptProgress, AttemptView, ExtraCall, RetryBudget, RetryDecision, RetryRefusal};
use masticstair_core::prelude::*;
use std::time::Duration;

/// Maximum number of attempts per stage; an attempt after three failures rarely meets the deadline.
const MAX_ATTEMPTS: u32 = 4;

/// Decides whether a failed attempt is retried; a retry is charged to the budget.
pub fn next_attempt(
    now: Timestamp,
    budget: &mut RetryBudget,
    attempt: &AttemptView,
    draw: Draw,
) -> RetryDecision {
    let after = backoff(attempt.attempts, draw);
    let decided = check(now, attempt, after).and_then(|()| budget.try_take(now, ExtraCall::Retry));
    match decided {
        Ok(()) => RetryDecision::Retry { after },
        Err(refusal) => RetryDecision::Stop(refusal),
    }
}

/// Checks idempotency, the number of attempts and the deadline; the budget is charged separately.
fn check(now: Timestamp, attempt: &AttemptView, after: Duration) -> Result<(), RetryRefusal> {
    if !attempt.idempotent && attempt.progress == AttemptProgress::MaybeSent {
        return Err(RetryRefusal::NotIdempotent);
    }
    if attempt.attempts >= MAX_ATTEMPTS {
        return Err(RetryRefusal::Attempts { attempts: attempt.attempts, limit: MAX_ATTEMPTS });
    }
    let needed = after.saturating_add(attempt.expected);
    let remaining = attempt.deadline.since(now);
    if needed >= remaining {
        return Err(RetryRefusal::Deadline { needed, remaining });
    }
    Ok(())
}

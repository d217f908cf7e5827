use super::{Amount, LendError, LoanGrant, LoanId, LoanRequest, LoanReturn};
use masticstair_core::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum term of a loan. It has to exceed the longest deadline of a request, because a borrowed slot
/// is used only by requests that finish before the loan expires.
pub const MAX_LOAN_TERM: Millis = Millis::new(30_000);

/// The lender waits 1/100 longer than the term to allow for clock drift between hosts.
const CLOCK_DRIFT_DIVISOR: u32 = 100;

/// At most `1 / LENDABLE_DIVISOR` of the local share is lent, so that a host can use the rest
/// immediately after a restart.
const LENDABLE_DIVISOR: u64 = 2;

/// Maximum number of granted loans, and of pending requests, per quota.
const MAX_LOANS: usize = 64;

/// Quota of a host for one limit of one account: its local share and the amounts lent and borrowed.
///
/// Invariant: over all hosts, the amounts `usable` for a horizon of zero never exceed the sum of the
/// local shares. Only a new bundle lowers a local share; earlier loans expire within `MAX_LOAN_TERM`.
#[derive(Clone, Debug)]
pub struct HostQuota {
    local: Amount,
    /// Loans granted by an earlier incarnation may be in use until this time.
    withheld_until: Timestamp,
    /// Amount and expiry of each loan to another host.
    lent: BTreeMap<LoanId, (Amount, Timestamp)>,
    /// Unanswered requests and the time when they were sent.
    pending: BTreeMap<LoanId, Timestamp>,
    /// Amount and expiry of each loan from another host.
    borrowed: BTreeMap<LoanId, (Amount, Timestamp)>,
}

impl HostQuota {
    /// Creates a quota without loans. `restarted` may be false only if the host has never lent under
    /// this identity; otherwise it withholds the lendable part until loans of an earlier incarnation
    /// have expired.
    pub fn new(now: Timestamp, local: Amount, restarted: bool) -> Self {
        let wait =
            if restarted { with_clock_drift(MAX_LOAN_TERM.duration()) } else { Duration::ZERO };
        let (lent, pending, borrowed) = Default::default();
        Self { local, withheld_until: now.plus(wait), lent, pending, borrowed }
    }

    /// Replaces the local share, after a new bundle.
    pub fn set_local(&mut self, local: Amount) {
        self.local = local;
    }

    /// Returns the amount usable for work that finishes within `horizon`. Loans that expire earlier
    /// are not counted.
    pub fn usable(&self, now: Timestamp, horizon: Duration) -> Amount {
        let end = now.plus(horizon);
        let borrowed: u64 =
            self.borrowed.values().filter(|l| now < l.1 && end <= l.1).map(|l| l.0.get()).sum();
        Amount::new(self.local_usable(now) + borrowed)
    }

    /// Creates a loan request to another host and records it as pending. The term is capped at
    /// `MAX_LOAN_TERM`; the oldest pending request is dropped when there are too many.
    pub fn request_loan(
        &mut self,
        now: Timestamp,
        id: LoanId,
        amount: Amount,
        term: Millis,
    ) -> LoanRequest {
        let term = term.min(MAX_LOAN_TERM);
        self.remove_expired(now);
        if self.pending.len() >= MAX_LOANS {
            self.pending.pop_first();
        }
        self.pending.insert(id.clone(), now);
        LoanRequest { id, amount, term }
    }

    /// Handles a loan request of another host. `in_use` is the amount that this host uses of its local
    /// share and borrowed loans.
    ///
    /// Idempotent: a duplicate request gets the same loan, whose expiry does not change.
    pub fn lend(
        &mut self,
        now: Timestamp,
        request: &LoanRequest,
        in_use: Amount,
    ) -> Result<LoanGrant, LendError> {
        self.remove_expired(now);
        let (id, term) = (request.id.clone(), request.term);
        if term > MAX_LOAN_TERM || term.get() == 0 {
            return Err(LendError::Term { term, limit: MAX_LOAN_TERM });
        }
        if let Some(&(amount, _)) = self.lent.get(&id) {
            return Ok(LoanGrant { id, amount, term });
        }
        if self.lent.len() >= MAX_LOANS {
            return Err(LendError::TooMany { loans: self.lent.len(), limit: MAX_LOANS });
        }
        let (wanted, free) = (request.amount, self.lendable(now, in_use));
        let amount = wanted.min(free);
        if amount.get() == 0 {
            return Err(LendError::NothingFree { wanted, free, local: self.local });
        }
        self.lent.insert(id.clone(), (amount, now.plus(with_clock_drift(term.duration()))));
        Ok(LoanGrant { id, amount, term })
    }

    /// Accepts a grant and returns whether the loan is usable. A grant that was not requested, is a
    /// duplicate or has expired is ignored.
    pub fn accept_grant(&mut self, now: Timestamp, grant: &LoanGrant) -> bool {
        let Some(requested_at) = self.pending.remove(&grant.id) else { return false };
        let end = requested_at.plus(grant.term.min(MAX_LOAN_TERM).duration());
        let live = now < end;
        if live {
            self.borrowed.insert(grant.id.clone(), (grant.amount, end));
        }
        live
    }

    /// Returns borrowed loans that are not needed when `in_use` is used for work within `horizon`.
    pub fn return_unused(
        &mut self,
        now: Timestamp,
        in_use: Amount,
        horizon: Duration,
    ) -> Vec<LoanReturn> {
        let mut spare = self.usable(now, horizon).get().saturating_sub(in_use.get());
        let mut returned = Vec::new();
        self.borrowed.retain(|id, (amount, end)| {
            let unused = now.plus(horizon) <= *end && amount.get() <= spare;
            if unused {
                spare -= amount.get();
                returned.push(LoanReturn { id: id.clone() });
            }
            !unused
        });
        returned
    }

    /// Ends a loan that its borrower returned; an unknown loan is ignored.
    pub fn accept_return(&mut self, returned: &LoanReturn) {
        self.lent.remove(&returned.id);
    }

    /// Returns the amount of the local share that other hosts may be using.
    fn lent_amount(&self, now: Timestamp) -> u64 {
        self.lent.values().filter(|l| now < l.1).map(|l| l.0.get()).sum()
    }

    fn local_usable(&self, now: Timestamp) -> u64 {
        let withheld =
            if now < self.withheld_until { self.local.get() / LENDABLE_DIVISOR } else { 0 };
        self.local.get().saturating_sub(withheld).saturating_sub(self.lent_amount(now))
    }

    /// Returns the amount that may be lent: zero until loans of an earlier incarnation have expired.
    fn lendable(&self, now: Timestamp, in_use: Amount) -> Amount {
        if now < self.withheld_until {
            return Amount::new(0);
        }
        let allowance = (self.local.get() / LENDABLE_DIVISOR).saturating_sub(self.lent_amount(now));
        Amount::new(allowance.min(self.local_usable(now).saturating_sub(in_use.get())))
    }

    fn remove_expired(&mut self, now: Timestamp) {
        self.lent.retain(|_, l| now < l.1);
        self.borrowed.retain(|_, l| now < l.1);
        self.pending.retain(|_, sent| now < sent.plus(MAX_LOAN_TERM.duration()));
    }
}

/// Returns how long a lender withholds a loan of `term`, including the allowance for clock drift.
fn with_clock_drift(term: Duration) -> Duration {
    term.saturating_add(term / CLOCK_DRIFT_DIVISOR)
}

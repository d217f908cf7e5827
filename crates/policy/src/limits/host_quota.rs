use super::{Amount, LendError, LoanGrant, LoanId, LoanRequest, LoanReturn};
use masticstair_core::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// The longest term of a loan. It has to exceed the longest deadline of a request, because a borrowed
/// slot is only used by requests that end before the loan does.
pub const MAX_LOAN_TERM: Millis = Millis::new(30_000);

/// The lender waits longer than the term by this part (1/100), for clocks that run at different speeds.
const CLOCK_DRIFT_DIVISOR: u32 = 100;

/// At most one part in this many of the own part is lent, so that a host keeps some of each account
/// and can use that at once after a restart.
const LENDABLE_DIVISOR: u64 = 2;

/// The most loans that a ledger keeps on either side.
const MAX_LOANS: usize = 64;

/// What a host owns, has lent and has borrowed of one limit of one account.
///
/// Over all hosts, the amounts `usable` for a horizon of zero never add up to more than the sum of the
/// own parts. The own part is lowered by a new bundle only; loans from before end within `MAX_LOAN_TERM`.
#[derive(Clone, Debug)]
pub struct HostQuota {
    local: Amount,
    /// Until this time, loans of an earlier incarnation may be in use.
    withheld_until: Timestamp,
    /// Amount and end of each loan to another host.
    lent: BTreeMap<LoanId, (Amount, Timestamp)>,
    /// The requests without an answer, and when they were sent.
    pending: BTreeMap<LoanId, Timestamp>,
    /// Amount and end of each loan from another host.
    borrowed: BTreeMap<LoanId, (Amount, Timestamp)>,
}

impl HostQuota {
    /// Starts without loans. `restarted` is false only if the host is known never to have lent under
    /// this identity; otherwise it waits out the longest loan.
    pub fn new(now: Timestamp, local: Amount, restarted: bool) -> Self {
        let wait =
            if restarted { with_clock_drift(MAX_LOAN_TERM.duration()) } else { Duration::ZERO };
        let (lent, pending, borrowed) = Default::default();
        Self { local, withheld_until: now.plus(wait), lent, pending, borrowed }
    }

    /// Takes over the own part of a new bundle.
    pub fn set_local(&mut self, local: Amount) {
        self.local = local;
    }

    /// Returns what the host may use for work that ends within `horizon`. Loans that end earlier do
    /// not count.
    pub fn usable(&self, now: Timestamp, horizon: Duration) -> Amount {
        let end = now.plus(horizon);
        let borrowed: u64 =
            self.borrowed.values().filter(|l| now < l.1 && end <= l.1).map(|l| l.0.get()).sum();
        Amount::new(self.local_usable(now) + borrowed)
    }

    /// Makes a request to another host and remembers it.
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

    /// Answers the request of another host. `in_use` is what this host uses of its own part and loans.
    ///
    /// A request that comes twice gets the same loan, with what is left of its term.
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

    /// Takes up a grant. A grant that was not asked for, came before, or has ended is ignored.
    pub fn accept_grant(&mut self, now: Timestamp, grant: &LoanGrant) -> bool {
        let Some(requested_at) = self.pending.remove(&grant.id) else { return false };
        let end = requested_at.plus(grant.term.min(MAX_LOAN_TERM).duration());
        let live = now < end;
        if live {
            self.borrowed.insert(grant.id.clone(), (grant.amount, end));
        }
        live
    }

    /// Gives back loans that are not needed while `in_use` is used for work within `horizon`.
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

    /// Takes back a loan; an unknown one is ignored.
    pub fn accept_return(&mut self, returned: &LoanReturn) {
        self.lent.remove(&returned.id);
    }

    /// Returns what other hosts may be using of the own part.
    fn lent_amount(&self, now: Timestamp) -> u64 {
        self.lent.values().filter(|l| now < l.1).map(|l| l.0.get()).sum()
    }

    fn local_usable(&self, now: Timestamp) -> u64 {
        let withheld =
            if now < self.withheld_until { self.local.get() / LENDABLE_DIVISOR } else { 0 };
        self.local.get().saturating_sub(withheld).saturating_sub(self.lent_amount(now))
    }

    /// Returns what may be lent now: nothing while earlier loans are waited out.
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

/// Returns how long a lender waits for a loan of `term`.
fn with_clock_drift(term: Duration) -> Duration {
    term.saturating_add(term / CLOCK_DRIFT_DIVISOR)
}

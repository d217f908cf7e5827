use super::*;
use crate::estimate::Latency;
use masticstair_core::prelude::*;
use proptest::prelude::*;
use std::time::Duration;

fn at(ms: u64) -> Timestamp {
    Timestamp::new(ms * 1_000)
}

fn failed_attempt() -> AttemptView {
    AttemptView {
        idempotent: true,
        progress: AttemptProgress::MaybeSent,
        attempts: 1,
        deadline: at(1_000),
        expected: Duration::from_millis(100),
    }
}

struct RetryCase {
    guards: &'static str,
    attempt: AttemptView,
    now_ms: u64,
    retried: bool,
}

#[test]
fn failed_attempts_are_retried_where_allowed() {
    let view = failed_attempt();
    let nothing = AttemptProgress::NothingSent;
    let cases = [
        RetryCase {
            guards: "a failed idempotent call is not retried",
            attempt: view,
            now_ms: 0,
            retried: true,
        },
        RetryCase {
            guards: "a run-once call is sent twice",
            attempt: AttemptView { idempotent: false, ..view },
            now_ms: 0,
            retried: false,
        },
        RetryCase {
            guards: "a run-once call is not retried although no byte was sent",
            attempt: AttemptView { idempotent: false, progress: nothing, ..view },
            now_ms: 0,
            retried: true,
        },
        RetryCase {
            guards: "a retry is sent that would finish after the deadline",
            attempt: view,
            now_ms: 920,
            retried: false,
        },
        RetryCase {
            guards: "a retry is sent after the deadline",
            attempt: AttemptView { expected: Duration::ZERO, ..view },
            now_ms: 1_001,
            retried: false,
        },
        RetryCase {
            guards: "the number of attempts is not bounded",
            attempt: AttemptView { attempts: 4, ..view },
            now_ms: 0,
            retried: false,
        },
    ];
    for case in cases {
        let mut budget = RetryBudget::new(10);
        let decision =
            next_attempt(at(case.now_ms), &mut budget, &case.attempt, Draw::new(u64::MAX / 2));
        let retried = matches!(decision, RetryDecision::Retry { .. });
        assert_eq!(retried, case.retried, "{}: {decision:?}", case.guards);
    }
}

struct HedgeCase {
    guards: &'static str,
    idempotent: bool,
    deadline_ms: u64,
    delay_ms: Option<std::ops::RangeInclusive<u128>>,
}

#[test]
fn hedges_are_sent_late_and_in_time() {
    // Calls take 100 ms with a deviation of 10 ms, the later stages 200 ms.
    let cases = [
        HedgeCase {
            guards: "a call that is not idempotent is hedged",
            idempotent: false,
            deadline_ms: 1_000,
            delay_ms: None,
        },
        HedgeCase {
            guards: "a hedge is sent early although the deadline is far away",
            idempotent: true,
            deadline_ms: 10_000,
            delay_ms: Some(9_000..=9_500),
        },
        HedgeCase {
            guards: "a hedge is sent while the call is within its usual latency",
            idempotent: true,
            deadline_ms: 500,
            delay_ms: Some(130..=200),
        },
        HedgeCase {
            guards: "a hedge is sent that can't finish before the deadline",
            idempotent: true,
            deadline_ms: 400,
            delay_ms: None,
        },
    ];
    for case in cases {
        let latency =
            Latency { mean: Duration::from_millis(100), deviation: Duration::from_millis(10) };
        let view = HedgeView {
            idempotent: case.idempotent,
            sent: latency,
            pool: latency,
            later_stages: Duration::from_millis(200),
            deadline: at(case.deadline_ms),
        };
        let delay = hedge_delay(at(0), &view).map(|d| d.as_millis());
        let expected = match (&case.delay_ms, delay) {
            (Some(range), Some(delay)) => range.contains(&delay),
            (None, None) => true,
            _ => false,
        };
        assert!(expected, "{}: {delay:?} ms", case.guards);
    }
}

proptest! {
    /// Guards against retry storms: for any distribution of calls and failures, neither a window nor
    /// the whole run exceeds its budget.
    #[test]
    fn budget_is_never_overdrawn(
        percent in 0u8..=20,
        steps in proptest::collection::vec((0u64..3_000, 0u64..30, 0u64..10, any::<bool>()), 1..100),
    ) {
        let mut budget = RetryBudget::new(percent);
        let allowed = u64::from(percent.min(10));
        let (mut now, mut calls, mut extra) = (0, 0, 0);
        let mut sent: Vec<(u64, u64, u64)> = Vec::new();
        for (pause, first, wanted, hedge) in steps {
            now += pause;
            (0..first).for_each(|_| budget.record_call(at(now)));
            let kind = if hedge { ExtraCall::Hedge } else { ExtraCall::Retry };
            let taken = (0..wanted).filter(|_| budget.try_take(at(now), kind).is_ok()).count() as u64;
            calls += first;
            extra += taken;
            sent.push((now, first, taken));
            prop_assert!(extra * 100 <= calls * allowed + 500);
            let recent = sent.iter().filter(|s| s.0 / 1_000 + 10 > now / 1_000);
            let (c, e) = recent.fold((0, 0), |s, p| (s.0 + p.1, s.1 + p.2));
            prop_assert!(e * 100 <= c * allowed + 500 || taken == 0);
        }
    }

    /// Guards against retries past the deadline and against sending a run-once call twice.
    #[test]
    fn no_retry_passes_the_deadline_or_repeats_a_run_once_call(
        now in 0u64..2_000,
        expected in 0u64..2_000,
        idempotent: bool,
        sent: bool,
        attempts in 1u32..6,
        draw: u64,
    ) {
        let progress =
            if sent { AttemptProgress::MaybeSent } else { AttemptProgress::NothingSent };
        let view = AttemptView {
            idempotent,
            progress,
            attempts,
            deadline: at(1_000),
            expected: Duration::from_millis(expected),
        };
        let mut budget = RetryBudget::new(10);
        if let RetryDecision::Retry { after } =
            next_attempt(at(now), &mut budget, &view, Draw::new(draw))
        {
            prop_assert!(idempotent || !sent);
            prop_assert!(at(now).plus(after).plus(view.expected) < view.deadline);
        }
    }

    /// Guards against hedges that are sent too early, or too late to finish before the deadline.
    #[test]
    fn no_hedge_passes_the_deadline(
        deadline in 0u64..5_000,
        mean in 1u64..2_000,
        deviation in 0u64..500,
        later in 0u64..2_000,
    ) {
        let ms = Duration::from_millis;
        let latency = Latency { mean: ms(mean), deviation: ms(deviation) };
        let view = HedgeView {
            idempotent: true,
            sent: latency,
            pool: latency,
            later_stages: ms(later),
            deadline: at(deadline),
        };
        if let Some(delay) = hedge_delay(at(0), &view) {
            prop_assert!(delay >= latency.upper_bound(3));
            prop_assert!(at(0).plus(delay).plus(ms(mean + later)) < view.deadline);
        }
    }
}

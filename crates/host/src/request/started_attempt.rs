use super::attempt_target::AttemptTarget;
use crate::telemetry::Span;
use crate::traffic::CallGuard;

/// An attempt whose endpoint has been chosen and which counts as in flight until `guard` is dropped.
pub(super) struct StartedAttempt {
    pub(super) target: AttemptTarget,
    pub(super) span: Span,
    pub(super) guard: CallGuard,
}

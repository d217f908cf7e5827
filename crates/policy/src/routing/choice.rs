/// Chosen endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Choice {
    /// Index among the candidates.
    pub position: usize,
    /// True if the call is a probe; `CircuitBreaker::begin_probe` has to succeed before it is sent.
    pub probe: bool,
}

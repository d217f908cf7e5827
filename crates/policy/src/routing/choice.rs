/// The endpoint that was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Choice {
    /// The position among the candidates.
    pub position: usize,
    /// The call is a probe: `CircuitBreaker::begin_probe` has to succeed before it is sent.
    pub probe: bool,
}

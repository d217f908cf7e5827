/// What is known of a host; within one incarnation and refutation a later state replaces an earlier one.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum HostState {
    /// It answers.
    Alive,
    /// Direct and indirect probes went unanswered; it can still refute that.
    Suspect,
    /// The suspicion was not refuted in time.
    Failed,
    /// It said that it leaves; final for the incarnation.
    Left,
}

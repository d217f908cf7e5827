/// Event of the simulation; indices are positions in `Model::requests` and `Model::calls`.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Event {
    /// The next request arrives.
    Arrive,
    /// A call finishes: call and whether it succeeded.
    CallEnd(usize, bool),
    /// The hedge delay has passed: request and stage.
    Hedge(usize, usize),
    /// The backoff has passed: request and stage.
    Retry(usize, usize),
    /// The deadline of a request has passed.
    Deadline(usize),
    /// Engines report their load to all hosts.
    Report,
}

/// Something that happens at a time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Event {
    /// The next request arrives.
    Arrive,
    /// A call ends, with success or not.
    CallEnd(usize, bool),
    /// A stage of a request may need a hedge.
    Hedge(usize, usize),
    /// A stage of a request is attempted again.
    Retry(usize, usize),
    /// The deadline of a request.
    Deadline(usize),
    /// Engines report their load.
    Report,
}

/// Class of a request in the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkClass {
    /// Pipeline whose stages are all idempotent calls of plain services (stage kind `service`).
    Lookup,
    /// Any other pipeline.
    Work,
}

impl WorkClass {
    /// All classes, in the order of `index`.
    pub const ALL: [Self; 2] = [Self::Lookup, Self::Work];

    /// Returns the index in arrays by class.
    pub(crate) const fn index(self) -> usize {
        self as usize
    }
}

/// The class that a request is queued in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkClass {
    /// A pipeline whose stages are all idempotent calls of plain services.
    Lookup,
    /// Every other pipeline.
    Work,
}

impl WorkClass {
    /// Every class, in the order of `index`.
    pub const ALL: [Self; 2] = [Self::Lookup, Self::Work];

    /// Returns the position in tables by class.
    pub(crate) const fn index(self) -> usize {
        self as usize
    }
}

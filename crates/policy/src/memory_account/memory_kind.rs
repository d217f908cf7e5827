/// What memory is held for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemoryKind {
    /// An answer that is read from an endpoint, or that a client has not read.
    Answer,
    /// The state of a connection, a head or a body.
    Request,
}

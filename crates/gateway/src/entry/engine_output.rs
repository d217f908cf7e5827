use bytes::Bytes;

/// The next output of an engine.
pub(super) enum EngineOutput {
    Chunk(Bytes),
    End,
    /// The connection broke.
    Broken(Box<str>),
    /// Nothing came in time.
    Silent(Box<str>),
}

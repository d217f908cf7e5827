use bytes::Bytes;

/// What an engine sent next.
pub(super) enum EngineOutput {
    Chunk(Bytes),
    End,
    Broken(Box<str>),
}

use bytes::Bytes;

/// The next output of an engine.
pub(super) enum EngineOutput {
    Chunk(Bytes),
    End,
    Broken(Box<str>),
}

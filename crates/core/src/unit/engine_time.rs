number_newtype! {
    /// The processing time of a call at an endpoint, in microseconds.
    EngineTime(u64)
}

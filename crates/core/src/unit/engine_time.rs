number_newtype! {
    /// Time that an endpoint spent on a call, in microseconds.
    EngineTime(u64)
}

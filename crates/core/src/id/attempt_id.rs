number_newtype! {
    /// One attempt at one stage of a request; unique within the request.
    AttemptId(u32)
}

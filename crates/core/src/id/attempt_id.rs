number_newtype! {
    /// The id of one attempt to run a stage at an endpoint; unique within the request.
    AttemptId(u32)
}

number_newtype! {
    /// The id of one attempt of a stage; unique within the request.
    AttemptId(u32)
}

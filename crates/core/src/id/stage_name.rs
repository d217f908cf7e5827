name_newtype! {
    /// A stage of a pipeline.
    StageName
}

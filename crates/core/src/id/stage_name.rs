name_newtype! {
    /// The name of a stage of a pipeline.
    StageName
}

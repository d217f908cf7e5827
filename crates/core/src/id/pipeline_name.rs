name_newtype! {
    /// The name of a pipeline of the bundle.
    PipelineName
}

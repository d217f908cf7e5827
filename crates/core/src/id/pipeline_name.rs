name_newtype! {
    /// A pipeline of the bundle.
    PipelineName
}

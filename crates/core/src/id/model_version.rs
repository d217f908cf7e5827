name_newtype! {
    /// A version of a model.
    ModelVersion
}

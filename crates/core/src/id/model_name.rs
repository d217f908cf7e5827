name_newtype! {
    /// The name of a model of the bundle.
    ModelName
}

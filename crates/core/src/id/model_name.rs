name_newtype! {
    /// A model of the bundle.
    ModelName
}

name_newtype! {
    /// A version of a model.
    ModelVersion
}

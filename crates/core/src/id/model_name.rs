name_newtype! {
    /// A model of the bundle.
    ModelName
}

name_newtype! {
    /// A version of a model; has no order.
    ModelVersion
}

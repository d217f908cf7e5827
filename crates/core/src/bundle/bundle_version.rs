name_newtype! {
    /// A version of the bundle. Operators choose it; it has no order.
    BundleVersion
}

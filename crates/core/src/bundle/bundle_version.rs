name_newtype! {
    /// The name that operators give to a version of the bundle.
    BundleVersion
}

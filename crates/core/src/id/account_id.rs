name_newtype! {
    /// A client account of the bundle.
    AccountId
}

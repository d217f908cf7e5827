number_newtype! {
    /// The revision of the configuration in force; never decreases, and 0 means that there is none.
    Revision(u64)
}

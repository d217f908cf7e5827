number_newtype! {
    /// A size in bytes.
    ByteCount(u64)
}

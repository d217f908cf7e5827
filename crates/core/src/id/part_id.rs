number_newtype! {
    /// A part of a prompt that several requests share.
    PartId(u64)
}

number_newtype! {
    /// A part of a prompt that several requests share.
    PromptPartId(u64)
}

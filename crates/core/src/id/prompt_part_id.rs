number_newtype! {
    /// The id of a part of a prompt; equal for equal content, so that requests can share the part.
    PromptPartId(u64)
}

number_newtype! {
    /// A number of concurrent calls, or another count that a limit applies to, such as engines or items.
    Slots(u32)
}

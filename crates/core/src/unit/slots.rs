number_newtype! {
    /// A number of concurrent calls, or of other units of capacity.
    Slots(u32)
}

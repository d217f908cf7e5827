number_newtype! {
    /// A number of calls that may run at the same time.
    Slots(u32)
}

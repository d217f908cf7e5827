number_newtype! {
    /// The relative share of an account in fair queueing.
    Weight(u32)
}

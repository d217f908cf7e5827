number_newtype! {
    /// A relative share: of an account in fair queueing, or of a service in the requests of a route.
    Weight(u32)
}

number_newtype! {
    /// The number of a connection to an endpoint, counted from 1 by the pool that opened it.
    ConnectionNumber(u64)
}

number_newtype! {
    /// The number that orders to engines carry; only ever rises.
    FencingToken(u64)
}

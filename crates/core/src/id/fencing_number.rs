number_newtype! {
    /// The number that orders to engines carry; only ever rises.
    FencingNumber(u64)
}

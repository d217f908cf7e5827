number_newtype! {
    /// The fencing token that orders to engines carry; never decreases.
    FencingToken(u64)
}

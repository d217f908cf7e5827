number_newtype! {
    /// A uniformly random number that the caller of a decision supplies.
    Draw(u64)
}

impl Draw {
    /// Maps the number to `[0, 1)`.
    pub fn fraction(self) -> f64 {
        // 53 bits are the precision of an f64.
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

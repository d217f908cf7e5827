number_newtype! {
    /// A uniformly distributed random number. The caller supplies it, so that decisions are deterministic.
    Draw(u64)
}

impl Draw {
    /// Maps the number to `[0, 1)`.
    pub fn fraction(self) -> f64 {
        // An f64 has a precision of 53 bits.
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

number_newtype! {
    /// A time on the monotonic clock of this process, in microseconds.
    Timestamp(u64)
}

impl Timestamp {
    /// Adds a duration; saturates at the maximum.
    pub const fn plus(self, span: std::time::Duration) -> Self {
        Self(self.0.saturating_add(span.as_micros() as u64))
    }

    /// Subtracts a duration; saturates at zero.
    pub const fn minus(self, span: std::time::Duration) -> Self {
        Self(self.0.saturating_sub(span.as_micros() as u64))
    }

    /// Returns the duration since `earlier`; zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> std::time::Duration {
        std::time::Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

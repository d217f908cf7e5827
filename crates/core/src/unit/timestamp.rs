number_newtype! {
    /// Microseconds on the monotonic clock of this process.
    Timestamp(u64)
}

impl Timestamp {
    /// Returns the time that lies `span` later.
    pub const fn plus(self, span: std::time::Duration) -> Self {
        Self(self.0.saturating_add(span.as_micros() as u64))
    }

    /// Returns the time from `earlier` to this, zero when `earlier` is later.
    pub const fn since(self, earlier: Self) -> std::time::Duration {
        std::time::Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

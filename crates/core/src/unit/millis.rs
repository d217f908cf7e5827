number_newtype! {
    /// A span of time in milliseconds.
    Millis(u64)
}

impl Millis {
    /// Returns the span as a `Duration`.
    pub const fn duration(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.get())
    }
}

number_newtype! {
    /// A duration in milliseconds.
    Millis(u64)
}

impl Millis {
    /// Converts the milliseconds to a `Duration`.
    pub const fn duration(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.get())
    }
}

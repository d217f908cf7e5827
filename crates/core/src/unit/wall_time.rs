number_newtype! {
    /// A wall clock time in milliseconds since the Unix epoch. Safety never depends on comparing the wall
    /// clocks of hosts.
    WallTime(u64)
}

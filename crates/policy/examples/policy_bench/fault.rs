/// Fault of one engine in each pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    None,
    /// Calls take ten times as long.
    Slow,
    /// Every call fails after `ERROR_US`.
    Errors,
}

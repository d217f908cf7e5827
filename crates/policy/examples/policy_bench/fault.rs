/// What is wrong with one replica in each pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    None,
    /// It takes ten times as long.
    Slow,
    /// It answers every call at once with an error.
    Errors,
}

/// A piece of evidence with its place in the order of changes.
#[derive(Clone, Debug)]
pub(super) struct Entry<T> {
    pub(super) value: T,
    /// The position of the last change of the value; 0 for what is not passed on.
    pub(super) position: u64,
    /// Whether this host saw it itself.
    pub(super) is_own: bool,
}

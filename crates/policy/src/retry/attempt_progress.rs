/// How far a failed attempt came.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptProgress {
    /// No byte of the call has left the host, for example because the connect failed.
    NothingSent,
    /// A byte of the call may have left the host, so that the call may have run.
    MaybeSent,
}

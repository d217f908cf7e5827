/// How far a failed attempt got.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptProgress {
    /// No byte of the call was sent, for example because the connection failed.
    NothingSent,
    /// Part of the call may have been sent, so that it may have run.
    MaybeSent,
}

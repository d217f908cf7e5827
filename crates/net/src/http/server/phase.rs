/// What the server does with a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// It awaits a head, or the client to read the rest of an answer.
    Head,
    /// It reads a body.
    Body,
    /// Its handler answers a request.
    Work,
    /// It produces the body of an answer.
    Answer,
}

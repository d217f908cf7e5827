use serde::{Serialize, Serializer};
use serde_json::value::RawValue;

/// The input of a stage, kept as JSON text: the host passes it on and never looks into it.
#[derive(Clone, Copy, Debug)]
pub(super) struct StageInput<'a> {
    /// The body of the caller.
    pub(super) request: &'a RawValue,
    /// The output of the stage before; `None` for the first stage.
    pub(super) previous: Option<&'a RawValue>,
}

/// The input of a stage after the first one.
#[derive(Serialize)]
struct LaterInput<'a> {
    request: &'a RawValue,
    previous: &'a RawValue,
}

impl Serialize for StageInput<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match (self.request, self.previous) {
            (request, None) => request.serialize(serializer),
            (request, Some(previous)) => LaterInput { request, previous }.serialize(serializer),
        }
    }
}

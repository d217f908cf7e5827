use serde::{Serialize, Serializer};
use serde_json::value::RawValue;

/// The input of a stage as JSON text, which the host forwards without parsing it.
#[derive(Clone, Copy, Debug)]
pub(super) struct StageInput<'a> {
    /// The body of the request of the caller.
    pub(super) request: &'a RawValue,
    /// The output of the previous stage; `None` for the first stage.
    pub(super) previous: Option<&'a RawValue>,
}

/// The JSON document for all stages but the first.
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

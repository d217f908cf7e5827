use masticstair_core::endpoint_api::RunRequest;
use serde_json::value::RawValue;
use serde_json::{Value, json};

use super::*;

struct MessageCase {
    guards: &'static str,
    previous: Option<Value>,
    resume: Option<Resume>,
    input: Value,
}

/// Guards against a difference between this type and `RunRequest`, which endpoints parse: the two are
/// separate definitions of the same JSON document.
#[test]
fn message_reads_back_as_a_run_request() {
    let body = json!({ "topic": "a \"quoted\" topic", "tokens": 8 });
    let cases = [
        MessageCase {
            guards: "the input of the first stage is not the body of the caller",
            previous: None,
            resume: None,
            input: body.clone(),
        },
        MessageCase {
            guards: "a later stage lacks the output of the previous stage or the resume position",
            previous: Some(json!({ "documents": ["d1"] })),
            resume: Some(Resume { index: TokenCount::new(3), text: "abc".into() }),
            input: json!({ "request": body, "previous": { "documents": ["d1"] } }),
        },
    ];
    let raw = |value: &Value| RawValue::from_string(value.to_string()).expect("JSON");
    let (pipeline, stage) = ("p".parse().expect("name"), "s".parse().expect("name"));
    let account = "a".parse().expect("name");
    for case in cases {
        let (request, previous) = (raw(&body), case.previous.as_ref().map(raw));
        let message = RunRequestRef {
            request_id: RequestId::from_bytes([7; 16]),
            attempt_id: AttemptId::new(2),
            pipeline: &pipeline,
            stage: &stage,
            kind: StageKind::Generate,
            model: None,
            account: &account,
            input: StageInput { request: &request, previous: previous.as_deref() },
            stream: true,
            resume_from: case.resume.as_ref(),
        };
        let encoded = serde_json::to_vec(&message).expect("encodes");
        let read: RunRequest = serde_json::from_slice(&encoded).expect("a run request");
        assert_eq!(read.input, case.input, "{}", case.guards);
        assert_eq!(read.resume_from, case.resume, "{}", case.guards);
        assert_eq!(read.request_id, message.request_id, "{}", case.guards);
        assert_eq!(read.attempt_id, message.attempt_id, "{}", case.guards);
        assert_eq!((read.pipeline, read.stage), (pipeline.clone(), stage.clone()));
        assert!(read.stream && read.account == account && read.kind == StageKind::Generate);
    }
}

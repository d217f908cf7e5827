use masticstair_core::endpoint_api::RunRequest;
use serde_json::value::RawValue;
use serde_json::{Value, json};

use super::*;

struct Case {
    guards: &'static str,
    previous: Option<Value>,
    resume: Option<Resume>,
    input: Value,
}

/// Guards against a difference between this type and `RunRequest`, which endpoints parse: the two are
/// separate definitions of the same JSON document.
#[test]
fn borrowed_request_parses_as_a_run_request() {
    let body = json!({ "topic": "a \"quoted\" topic", "tokens": 8 });
    let cases = [
        Case {
            guards: "the input of the first stage is not the body of the caller",
            previous: None,
            resume: None,
            input: body.clone(),
        },
        Case {
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
        let borrowed = RunRequestRef {
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
        let encoded = serde_json::to_vec(&borrowed).expect("encodes");
        let read: RunRequest = serde_json::from_slice(&encoded).expect("a run request");
        assert_eq!(read.input, case.input, "{}", case.guards);
        assert_eq!(read.resume_from, case.resume, "{}", case.guards);
        assert_eq!(read.request_id, borrowed.request_id, "{}", case.guards);
        assert_eq!(read.attempt_id, borrowed.attempt_id, "{}", case.guards);
        assert_eq!((read.pipeline, read.stage), (pipeline.clone(), stage.clone()));
        assert!(read.stream && read.account == account && read.kind == StageKind::Generate);
    }
}

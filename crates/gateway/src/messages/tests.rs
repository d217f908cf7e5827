use serde::{Deserialize, Serialize};

use super::{decode, encode};

/// A message of an earlier build.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
struct Earlier {
    number: u64,
    text: Box<str>,
}

/// The same message with fields that were added later.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
struct Later {
    number: u64,
    text: Box<str>,
    position: u64,
    list: Vec<u64>,
}

/// Guards against hosts of two builds that cannot read each other's messages.
#[test]
fn added_fields_do_not_break_earlier_and_later_builds() {
    let earlier = Earlier { number: 300, text: "a".into() };
    let later = Later { number: 300, text: "a".into(), position: 7, list: vec![1, 2] };
    assert_eq!(decode::<Earlier>(&encode(&later).unwrap()).unwrap(), earlier);
    let read: Later = decode(&encode(&earlier).unwrap()).unwrap();
    assert_eq!(read, Later { position: 0, list: Vec::new(), ..later });
}

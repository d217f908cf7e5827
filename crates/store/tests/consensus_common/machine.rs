use masticstair_store::consensus::{RestoreError, StateMachine};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use super::applied_log::AppliedLog;

/// The applied commands with their indexes.
type Applied = Rc<RefCell<Vec<(u64, u64)>>>;

/// The padded size of a command in a snapshot, so that a few thousand commands need several chunks.
const RECORD_BYTES: usize = 64;

/// Returns a state machine that keeps every command. A command is a number of 8 bytes and optional
/// padding; its low byte is the key that it claims. The reply is the number of earlier commands that
/// claimed the key. A query returns all commands.
pub fn machine(applied_log: AppliedLog) -> StateMachine {
    let applied: Applied = Rc::default();
    let (a, q, s, r) = (applied.clone(), applied.clone(), applied.clone(), applied);
    let claims: Rc<RefCell<BTreeMap<u64, u64>>> = Rc::default();
    let (restored, restored_claims) = (applied_log.clone(), claims.clone());
    StateMachine {
        apply: Box::new(move |index, command| {
            let command = decode(command);
            applied_log.record(index.get(), command);
            let mut applied = a.borrow_mut();
            applied.push((index.get(), command));
            let mut claims = claims.borrow_mut();
            let before = claims.entry(command & 0xff).or_default();
            *before += 1;
            (*before - 1).to_le_bytes().into()
        }),
        query: Box::new(move |_| q.borrow().iter().flat_map(|(_, c)| c.to_le_bytes()).collect()),
        snapshot: Box::new(move || {
            let record = |(i, c): &(u64, u64)| {
                let mut record = [i.to_le_bytes(), c.to_le_bytes()].concat();
                record.resize(RECORD_BYTES, 0);
                record
            };
            s.borrow().iter().flat_map(record).collect()
        }),
        restore: Box::new(move |data| {
            if !data.len().is_multiple_of(RECORD_BYTES) {
                return Err(RestoreError("size is not a multiple of 64".into()));
            }
            let pairs = data.chunks(RECORD_BYTES).map(|c| (decode(&c[..8]), decode(&c[8..])));
            *r.borrow_mut() = pairs.inspect(|(i, c)| restored.record(*i, *c)).collect();
            let mut claims = restored_claims.borrow_mut();
            claims.clear();
            r.borrow().iter().for_each(|(_, c)| *claims.entry(c & 0xff).or_default() += 1);
            Ok(())
        }),
    }
}

/// Decodes the number at the start of a command or a reply.
pub fn decode(bytes: &[u8]) -> u64 {
    u64::from_le_bytes(bytes[..8].try_into().unwrap())
}

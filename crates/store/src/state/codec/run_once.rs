//! Encoding of commands, replies and records of the run-once table, which holds calls that must not be
//! repeated.

use masticstair_core::prelude::*;
use masticstair_policy::run_once::{
    CallKey, CallStatus, Claim, Claimant, RecordState, RecordedAnswer, RunOnceBound,
    RunOnceCommand, RunOnceRecord, RunOnceReply,
};

use super::{CodecError, Reader, Writer, get_digest, put_digest};

pub(crate) fn put_command(w: &mut Writer, cmd: &RunOnceCommand) {
    match cmd {
        RunOnceCommand::Claim(claim) => {
            put_tagged_call(w, 0, &claim.call, claim.request);
            put_digest(w, &claim.body);
            put_claimant(w, &claim.claimant);
        }
        RunOnceCommand::Finish { call, request, answer } => {
            put_tagged_call(w, 1, call, *request);
            put_answer(w, answer);
        }
        RunOnceCommand::Fail { call, request, answer } => {
            put_tagged_call(w, 2, call, *request);
            put_answer(w, answer);
        }
        RunOnceCommand::Release { call, request, proposed_at } => {
            put_tagged_call(w, 3, call, *request);
            w.varint(proposed_at.get());
        }
        RunOnceCommand::ReportOrphaned { call, request } => put_tagged_call(w, 4, call, *request),
        RunOnceCommand::RaiseFloor { now } => {
            w.byte(5);
            w.varint(now.get());
        }
    }
}

pub(crate) fn get_command(r: &mut Reader<'_>) -> Result<RunOnceCommand, CodecError> {
    let tag = r.byte()?;
    if tag == 5 {
        return Ok(RunOnceCommand::RaiseFloor { now: r.varint()?.into() });
    }
    let (call, request) = (get_call(r)?, get_request(r)?);
    Ok(match tag {
        0 => {
            let (body, claimant) = (get_digest(r)?, get_claimant(r)?);
            RunOnceCommand::Claim(Box::new(Claim { call, body, request, claimant }))
        }
        1 => RunOnceCommand::Finish { call, request, answer: get_answer(r)? },
        2 => RunOnceCommand::Fail { call, request, answer: get_answer(r)? },
        3 => RunOnceCommand::Release { call, request, proposed_at: r.varint()?.into() },
        4 => RunOnceCommand::ReportOrphaned { call, request },
        tag => return Err(CodecError::Tag { what: "run-once command", tag }),
    })
}

pub(crate) fn put_reply(w: &mut Writer, reply: &RunOnceReply) {
    match reply {
        RunOnceReply::Granted => w.byte(0),
        RunOnceReply::Found(status) => {
            w.byte(1);
            put_call_status(w, status);
        }
        RunOnceReply::BodyConflict => w.byte(2),
        RunOnceReply::KeyExpired => w.byte(3),
        RunOnceReply::Full(RunOnceBound::Records) => w.byte(4),
        RunOnceReply::Full(RunOnceBound::ExpiredKeys) => w.byte(5),
        RunOnceReply::Recorded => w.byte(6),
        RunOnceReply::NotClaimant => w.byte(7),
        RunOnceReply::NoRecord => w.byte(8),
        RunOnceReply::Floor(floor) => {
            w.byte(9);
            w.varint(floor.get());
        }
    }
}

pub(crate) fn get_reply(r: &mut Reader<'_>) -> Result<RunOnceReply, CodecError> {
    Ok(match r.byte()? {
        0 => RunOnceReply::Granted,
        1 => RunOnceReply::Found(get_call_status(r)?),
        2 => RunOnceReply::BodyConflict,
        3 => RunOnceReply::KeyExpired,
        4 => RunOnceReply::Full(RunOnceBound::Records),
        5 => RunOnceReply::Full(RunOnceBound::ExpiredKeys),
        6 => RunOnceReply::Recorded,
        7 => RunOnceReply::NotClaimant,
        8 => RunOnceReply::NoRecord,
        9 => RunOnceReply::Floor(r.varint()?.into()),
        tag => return Err(CodecError::Tag { what: "run-once reply", tag }),
    })
}

pub(crate) fn put_record(w: &mut Writer, record: &RunOnceRecord) {
    w.fixed(record.request.as_bytes());
    w.varint(record.created_at.get());
    w.flag(record.has_key_time);
    match &record.state {
        RecordState::Claimed { body, claimant } => {
            w.byte(0);
            put_digest(w, body);
            put_claimant(w, claimant);
        }
        RecordState::Unknown { body } => {
            w.byte(1);
            put_digest(w, body);
        }
        RecordState::Done { body, answer } => {
            w.byte(2);
            put_digest(w, body);
            put_answer(w, answer);
        }
        RecordState::Failed { body, answer } => {
            w.byte(3);
            put_digest(w, body);
            put_answer(w, answer);
        }
        RecordState::Released => w.byte(4),
    }
}

pub(crate) fn get_record(r: &mut Reader<'_>) -> Result<RunOnceRecord, CodecError> {
    let (request, created_at, has_key_time) = (get_request(r)?, r.varint()?.into(), r.flag()?);
    let state = match r.byte()? {
        0 => RecordState::Claimed { body: get_digest(r)?, claimant: get_claimant(r)? },
        1 => RecordState::Unknown { body: get_digest(r)? },
        2 => RecordState::Done { body: get_digest(r)?, answer: get_answer(r)? },
        3 => RecordState::Failed { body: get_digest(r)?, answer: get_answer(r)? },
        4 => RecordState::Released,
        tag => return Err(CodecError::Tag { what: "run-once record", tag }),
    };
    Ok(RunOnceRecord { request, created_at, has_key_time, state })
}

pub(crate) fn put_call(w: &mut Writer, call: &CallKey) {
    w.text(call.account.as_str());
    w.text(call.key.as_str());
}

pub(crate) fn get_call(r: &mut Reader<'_>) -> Result<CallKey, CodecError> {
    Ok(CallKey { account: r.parse()?, key: r.parse()? })
}

fn put_tagged_call(w: &mut Writer, tag: u8, call: &CallKey, request: RequestId) {
    w.byte(tag);
    put_call(w, call);
    w.fixed(request.as_bytes());
}

fn get_request(r: &mut Reader<'_>) -> Result<RequestId, CodecError> {
    r.fixed().map(RequestId::from_bytes)
}

fn put_claimant(w: &mut Writer, claimant: &Claimant) {
    w.text(claimant.host.as_str());
    w.varint(claimant.incarnation.get());
    w.varint(claimant.deadline.get());
    w.varint(claimant.proposed_at.get());
}

fn get_claimant(r: &mut Reader<'_>) -> Result<Claimant, CodecError> {
    Ok(Claimant {
        host: r.parse()?,
        incarnation: r.varint()?.into(),
        deadline: r.varint()?.into(),
        proposed_at: r.varint()?.into(),
    })
}

fn put_answer(w: &mut Writer, answer: &RecordedAnswer) {
    match answer {
        RecordedAnswer::Kept(bytes) => {
            w.byte(0);
            w.bytes(bytes);
        }
        RecordedAnswer::Omitted { digest, length } => {
            w.byte(1);
            put_digest(w, digest);
            w.varint(length.get());
        }
    }
}

fn get_answer(r: &mut Reader<'_>) -> Result<RecordedAnswer, CodecError> {
    Ok(match r.byte()? {
        0 => RecordedAnswer::Kept(r.bytes()?.into()),
        1 => RecordedAnswer::Omitted { digest: get_digest(r)?, length: r.varint()?.into() },
        tag => return Err(CodecError::Tag { what: "recorded answer", tag }),
    })
}

fn put_call_status(w: &mut Writer, status: &CallStatus) {
    match status {
        CallStatus::Running { request, claimant } => {
            w.byte(0);
            w.fixed(request.as_bytes());
            put_claimant(w, claimant);
        }
        CallStatus::Unknown => w.byte(1),
        CallStatus::Done(answer) => {
            w.byte(2);
            put_answer(w, answer);
        }
        CallStatus::Failed(answer) => {
            w.byte(3);
            put_answer(w, answer);
        }
        CallStatus::Released => w.byte(4),
    }
}

fn get_call_status(r: &mut Reader<'_>) -> Result<CallStatus, CodecError> {
    Ok(match r.byte()? {
        0 => CallStatus::Running { request: get_request(r)?, claimant: get_claimant(r)? },
        1 => CallStatus::Unknown,
        2 => CallStatus::Done(get_answer(r)?),
        3 => CallStatus::Failed(get_answer(r)?),
        4 => CallStatus::Released,
        tag => return Err(CodecError::Tag { what: "found call", tag }),
    })
}

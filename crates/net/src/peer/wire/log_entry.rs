//! Entries of the replicated log.

use super::voter_set;
use crate::generated::peer_capnp::log_entry;
use crate::peer::DecodeError;
use masticstair_core::id::{LogIndex, Term};
use masticstair_core::message::{EntryPayload, LogEntry};

pub(crate) fn write(mut out: log_entry::Builder<'_>, entry: &LogEntry) {
    out.set_index(entry.index.get());
    out.set_term(entry.term.get());
    match &entry.payload {
        EntryPayload::Noop => out.set_noop(()),
        EntryPayload::Command(command) => out.set_command(command),
        EntryPayload::Voters(voters) => voter_set::write(out.init_voters(), voters),
    }
}

pub(crate) fn read(entry: log_entry::Reader<'_>) -> Result<LogEntry, DecodeError> {
    let payload = match entry.which() {
        Ok(log_entry::Noop(())) => EntryPayload::Noop,
        Ok(log_entry::Command(command)) => EntryPayload::Command(command?.into()),
        Ok(log_entry::Voters(voters)) => EntryPayload::Voters(Box::new(voter_set::read(voters?)?)),
        Err(e) => return Err(DecodeError::value("payload", e)),
    };
    Ok(LogEntry {
        index: LogIndex::new(entry.get_index()),
        term: Term::new(entry.get_term()),
        payload,
    })
}

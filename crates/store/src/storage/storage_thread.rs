use super::limits::GROUP_COMMIT_TARGET_BYTES;
use super::{CommitGroup, LogWriter, ReplySender, Request, SnapshotWriter, StorageError};
use std::collections::VecDeque;
use std::sync::mpsc::{Receiver, TryRecvError};

/// The thread that owns the data folder. It answers calls in order, except that a snapshot is written in
/// pieces between the groups of other calls.
pub(crate) struct StorageThread {
    /// The calls.
    pub(crate) rx: Receiver<Request>,
    /// The log.
    pub(crate) writer: LogWriter,
    /// The most bytes of a snapshot that are written at a time.
    pub(crate) snapshot_chunk_size: usize,
    /// Snapshots to write; the first one may have begun.
    pub(crate) snapshot_writers: VecDeque<SnapshotWriter>,
    /// The first failure. From then on nothing is written: after a failed sync, the system may have dropped
    /// the unwritten data, and a second sync would succeed without it.
    pub(crate) failure: Option<StorageError>,
}

impl StorageThread {
    /// Runs until `close` is called or every handle is dropped.
    pub(crate) fn run(mut self) {
        loop {
            let request = match self.snapshot_writers.is_empty() {
                true => self.rx.recv().map_err(|_| TryRecvError::Disconnected),
                false => self.rx.try_recv(),
            };
            match request {
                Ok(request) => {
                    if let Some(reply) = self.commit_group(request) {
                        // The lock is released before the caller learns that the storage is closed.
                        drop(self);
                        let _ = reply.send(Ok(()));
                        return;
                    }
                }
                Err(TryRecvError::Disconnected) if self.snapshot_writers.is_empty() => return,
                Err(_) => {}
            }
            self.continue_snapshot();
        }
    }

    /// Serves a call together with those that wait behind it; returns where to confirm the end, if one of
    /// them asks for it.
    fn commit_group(&mut self, first: Request) -> Option<ReplySender> {
        let mut group = CommitGroup::default();
        let mut next = Some(first);
        while let Some(request) = next.take() {
            self.stage(request, &mut group);
            if self.writer.staged() < GROUP_COMMIT_TARGET_BYTES && group.close_reply.is_none() {
                next = self.rx.try_recv().ok();
            }
        }
        let committed = self.run_unless_failed(LogWriter::commit);
        for reply in group.replies {
            let _ = reply.send(committed.clone());
        }
        group.close_reply
    }

    fn stage(&mut self, request: Request, group: &mut CommitGroup) {
        let (staged, reply) = match request {
            Request::Close(reply) => {
                group.close_reply = Some(reply);
                return;
            }
            Request::Snapshot(meta, data, reply) => {
                self.snapshot_writers.push_back(SnapshotWriter::new(meta, data, reply));
                return;
            }
            Request::Append(entries, reply) => {
                (self.run_unless_failed(|writer| writer.stage_entries(&entries)), reply)
            }
            Request::HardState(state, reply) => {
                (self.run_unless_failed(|writer| writer.stage_hard_state(state)), reply)
            }
        };
        match staged {
            Ok(()) => group.replies.push(reply),
            Err(e) => drop(reply.send(Err(e))),
        }
    }

    fn continue_snapshot(&mut self) {
        let Some(mut snapshot) = self.snapshot_writers.pop_front() else { return };
        let chunk_size = self.snapshot_chunk_size;
        match self
            .run_unless_failed(|writer| write_chunk_and_install(writer, &mut snapshot, chunk_size))
        {
            Ok(false) => self.snapshot_writers.push_front(snapshot),
            Ok(true) => drop(snapshot.reply.send(Ok(()))),
            Err(e) => drop(snapshot.reply.send(Err(e))),
        }
    }

    /// Runs an operation unless an earlier one failed, and remembers a failure.
    fn run_unless_failed<T>(
        &mut self,
        operation: impl FnOnce(&mut LogWriter) -> Result<T, StorageError>,
    ) -> Result<T, StorageError> {
        if let Some(first) = &self.failure {
            return Err(StorageError::Failed { cause: first.to_string().into() });
        }
        let result = operation(&mut self.writer);
        if let Err(e @ StorageError::Io { .. }) = &result {
            self.failure = Some(e.clone());
        }
        result
    }
}

fn write_chunk_and_install(
    writer: &mut LogWriter,
    snapshot: &mut SnapshotWriter,
    chunk_size: usize,
) -> Result<bool, StorageError> {
    snapshot.validate(writer.snapshot().index)?;
    let complete = snapshot.write_chunk(&mut writer.folder, chunk_size)?;
    if complete {
        writer.install_snapshot(snapshot.position())?;
    }
    Ok(complete)
}

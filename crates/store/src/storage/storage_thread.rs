use super::limits::GROUP_TARGET;
use super::{Group, LogWriter, Reply, Request, SnapshotJob, StorageError};
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
    pub(crate) snapshot_piece: usize,
    /// Snapshots to write; the first one may have begun.
    pub(crate) jobs: VecDeque<SnapshotJob>,
    /// The first failure. From then on nothing is written: after a failed sync, the system may have dropped
    /// the unwritten data, and a second sync would succeed without it.
    pub(crate) failure: Option<StorageError>,
}

impl StorageThread {
    /// Runs until `close` is called or every handle is dropped.
    pub(crate) fn run(mut self) {
        loop {
            let request = match self.jobs.is_empty() {
                true => self.rx.recv().map_err(|_| TryRecvError::Disconnected),
                false => self.rx.try_recv(),
            };
            match request {
                Ok(request) => {
                    if let Some(reply) = self.serve(request) {
                        // The lock is released before the caller learns that the storage is closed.
                        drop(self);
                        let _ = reply.send(Ok(()));
                        return;
                    }
                }
                Err(TryRecvError::Disconnected) if self.jobs.is_empty() => return,
                Err(_) => {}
            }
            self.advance_snapshot();
        }
    }

    /// Serves a call together with those that wait behind it; returns where to confirm the end, if one of
    /// them asks for it.
    fn serve(&mut self, first: Request) -> Option<Reply> {
        let mut group = Group::default();
        let mut next = Some(first);
        while let Some(request) = next.take() {
            self.stage(request, &mut group);
            if self.writer.staged() < GROUP_TARGET && group.close.is_none() {
                next = self.rx.try_recv().ok();
            }
        }
        let committed = self.guard(LogWriter::commit);
        for reply in group.staged {
            let _ = reply.send(committed.clone());
        }
        group.close
    }

    fn stage(&mut self, request: Request, group: &mut Group) {
        let (staged, reply) = match request {
            Request::Close(reply) => {
                group.close = Some(reply);
                return;
            }
            Request::Snapshot(meta, data, reply) => {
                self.jobs.push_back(SnapshotJob::new(meta, data, reply));
                return;
            }
            Request::Append(entries, reply) => {
                (self.guard(|writer| writer.stage_entries(&entries)), reply)
            }
            Request::HardState(state, reply) => {
                (self.guard(|writer| writer.stage_hard_state(state)), reply)
            }
        };
        match staged {
            Ok(()) => group.staged.push(reply),
            Err(e) => drop(reply.send(Err(e))),
        }
    }

    fn advance_snapshot(&mut self) {
        let Some(mut job) = self.jobs.pop_front() else { return };
        let piece = self.snapshot_piece;
        match self.guard(|writer| step(writer, &mut job, piece)) {
            Ok(false) => self.jobs.push_front(job),
            Ok(true) => drop(job.reply.send(Ok(()))),
            Err(e) => drop(job.reply.send(Err(e))),
        }
    }

    /// Runs an operation unless an earlier one failed, and remembers a failure.
    fn guard<T>(
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

fn step(writer: &mut LogWriter, job: &mut SnapshotJob, piece: usize) -> Result<bool, StorageError> {
    job.check(writer.snapshot().index)?;
    let complete = job.step(&mut writer.folder, piece)?;
    if complete {
        writer.install(job.position())?;
    }
    Ok(complete)
}

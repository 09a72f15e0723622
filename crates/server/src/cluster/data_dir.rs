//! The data directory of an instance: its lock, its incarnation number, and the replica's file with the thread that
//! writes it.
use crate::cluster::error::ClusterError;
use async_channel::{Receiver, Sender};
use cottondyke_consensus::sqlite::{SqliteStorage, StorageError};
use cottondyke_consensus::{PersistedState, ReplicaId, StorageOperation};
use std::fs::{File, TryLockError};
use std::hash::{BuildHasher, Hasher};
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

/// The maximum number of storage operations that are written as one batch.
const MAX_BATCH: usize = 64;
/// The number of random low bits of an incarnation number, below the Unix milliseconds.
const RANDOM_BITS: u32 = 16;

const LOCK_FILE: &str = "lock";
const INCARNATION_FILE: &str = "life";
const NEW_INCARNATION_FILE: &str = "life.new";
const REPLICA_FILE: &str = "registry.db";

/// A new incarnation number: Unix milliseconds, and random low bits so that incarnations differ even if the clock was
/// stepped back.
pub(super) fn new_incarnation() -> u64 {
    let unix_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64;
    unix_ms << RANDOM_BITS | random() & ((1 << RANDOM_BITS) - 1)
}

/// A random number from the operating system. `RandomState` is the only source of one in the standard library.
fn random() -> u64 {
    std::collections::hash_map::RandomState::new()
        .build_hasher()
        .finish()
}

/// A locked data directory. While the lock is held no other process uses the directory, so the process of the
/// incarnation that was recorded there before has ended.
pub(super) struct DataDirectory {
    path: PathBuf,
    pub(super) incarnation: u64,
    pub(super) previous_incarnation: Option<u64>,
    _lock: File,
}

impl DataDirectory {
    /// Creates the directory if it does not exist, locks it, and records a new incarnation.
    pub(super) fn open(path: &str) -> Result<Self, ClusterError> {
        let path = PathBuf::from(path);
        let failed = |source: io::Error| ClusterError::DataDirectory {
            path: path.clone(),
            source,
        };
        std::fs::create_dir_all(&path).map_err(failed)?;
        let lock = File::create(path.join(LOCK_FILE)).map_err(failed)?;
        lock.try_lock().map_err(|error| match error {
            TryLockError::Error(source) => failed(source),
            TryLockError::WouldBlock => ClusterError::DataDirectoryInUse { path: path.clone() },
        })?;
        let previous_incarnation = match std::fs::read_to_string(path.join(INCARNATION_FILE)) {
            Ok(text) => Some(parse_incarnation(&path, &text)?),
            Err(e) if e.kind() == io::ErrorKind::NotFound => None,
            Err(e) => return Err(failed(e)),
        };
        let incarnation = match previous_incarnation {
            Some(previous) => new_incarnation().max(previous + 1),
            None => new_incarnation(),
        };
        write_incarnation(&path, incarnation).map_err(failed)?;
        Ok(DataDirectory {
            incarnation,
            previous_incarnation,
            _lock: lock,
            path,
        })
    }

    /// Opens the replica's file, and returns it with the stored state.
    pub(super) fn open_replica(&self) -> Result<(SqliteStorage, PersistedState), ClusterError> {
        let new_id = ReplicaId(random() | 1);
        SqliteStorage::open(&self.path.join(REPLICA_FILE), new_id).map_err(ClusterError::Storage)
    }
}

fn parse_incarnation(directory: &Path, text: &str) -> Result<u64, ClusterError> {
    let number = text.trim().parse::<u64>();
    number.map_err(|source| ClusterError::CorruptIncarnation {
        path: directory.join(INCARNATION_FILE),
        source,
    })
}

/// Writes an incarnation number to disk before the incarnation begins: syncs the new file, renames it into place, and
/// syncs the directory.
fn write_incarnation(directory: &Path, incarnation: u64) -> io::Result<()> {
    let new = directory.join(NEW_INCARNATION_FILE);
    let mut file = File::create(&new)?;
    writeln!(file, "{incarnation}")?;
    file.sync_all()?;
    std::fs::rename(&new, directory.join(INCARNATION_FILE))?;
    File::open(directory)?.sync_all()
}

/// The number of the last operation of a batch that is on disk, or the error of the storage.
pub(super) type StorageResult = Result<u64, StorageError>;

/// The thread that writes the replica's file. Operations that are queued are written as one batch.
pub(super) struct StorageThread(Sender<StorageOperation>);

impl StorageThread {
    /// Starts the thread. Results are sent in the order of the operations; the thread ends after the first error.
    pub(super) fn start(mut storage: SqliteStorage) -> io::Result<(Self, Receiver<StorageResult>)> {
        let (sender, operations) = async_channel::unbounded::<StorageOperation>();
        let (result_sender, results) = async_channel::unbounded();
        let write_batches = move || {
            while let Ok(first) = operations.recv_blocking() {
                let rest = std::iter::from_fn(|| operations.try_recv().ok()).take(MAX_BATCH - 1);
                let batch: Vec<StorageOperation> = std::iter::once(first).chain(rest).collect();
                let last = batch.last().map_or(0, |operation| operation.number);
                let result = storage.apply(&batch).map(|()| last);
                let has_failed = result.is_err();
                if result_sender.send_blocking(result).is_err() || has_failed {
                    return;
                }
            }
        };
        let thread = std::thread::Builder::new().name("registry".into());
        thread.spawn(write_batches)?;
        Ok((StorageThread(sender), results))
    }

    /// Queues an operation. The queue needs no bound of its own: raft keeps uncommitted proposals to 1 MiB.
    pub(super) fn submit(&self, operation: StorageOperation) {
        let _ = self.0.try_send(operation);
    }
}

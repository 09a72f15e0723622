//! The folder of an instance: its lock, the number of its life, and the registry's file with the thread that
//! writes it.
use async_channel::{Receiver, Sender};
use cottondyke_consensus::sqlite::SqliteStorage;
use cottondyke_consensus::{PersistedState, ReplicaId, StorageOperation};
use std::fs::{File, TryLockError};
use std::hash::{BuildHasher, Hasher};
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

/// Writes that are carried out in one step.
const AT_ONCE: usize = 64;

/// A number that differs from life to life, also where clocks were stepped back: milliseconds with a draw below.
pub fn fresh() -> u64 {
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64;
    unix << 16 | draw() & 0xffff
}

/// A draw from the system, by the only way that the standard library has.
fn draw() -> u64 {
    std::collections::hash_map::RandomState::new()
        .build_hasher()
        .finish()
}

/// While it is held no other process runs from the folder: so the life that is noted there is over.
pub struct DataDirectory {
    folder: PathBuf,
    pub life: u64,
    pub former: Option<u64>,
    _lock: File,
}

impl DataDirectory {
    pub fn open(folder: &str) -> Result<Self, String> {
        let folder = PathBuf::from(folder);
        let wrong = |e: io::Error| format!("data = {:?}: {e}", folder.display().to_string());
        std::fs::create_dir_all(&folder).map_err(wrong)?;
        let lock = File::create(folder.join("lock")).map_err(wrong)?;
        lock.try_lock().map_err(|e| match e {
            TryLockError::Error(e) => wrong(e),
            TryLockError::WouldBlock => {
                let folder = folder.display().to_string();
                format!("data = {folder:?}: another process has it: expected a folder of its own for each instance")
            }
        })?;
        let former = match std::fs::read_to_string(folder.join("life")) {
            Ok(text) => Some(text.trim().parse::<u64>().map_err(|_| {
                let path = folder.join("life").display().to_string();
                format!("data: {path} holds no number: expected what this program wrote there")
            })?),
            Err(e) if e.kind() == io::ErrorKind::NotFound => None,
            Err(e) => return Err(wrong(e)),
        };
        let life = former.map_or_else(fresh, |former| fresh().max(former + 1));
        note(&folder, life).map_err(wrong)?;
        Ok(DataDirectory {
            life,
            former,
            _lock: lock,
            folder,
        })
    }

    /// The registry's file, and what it holds.
    pub fn registry(&self) -> Result<(SqliteStorage, PersistedState), String> {
        SqliteStorage::open(&self.folder.join("registry.db"), ReplicaId(draw() | 1))
            .map_err(|error| error.to_string())
    }
}

/// The number of a life is on disk before the life begins.
fn note(folder: &Path, life: u64) -> io::Result<()> {
    let new = folder.join("life.new");
    let mut file = File::create(&new)?;
    writeln!(file, "{life}")?;
    file.sync_all()?;
    std::fs::rename(&new, folder.join("life"))?;
    File::open(folder)?.sync_all()
}

/// The thread that writes. What waits is written in one step.
pub struct StorageThread(Sender<StorageOperation>);

impl StorageThread {
    pub fn start(mut disk: SqliteStorage) -> io::Result<(Self, Receiver<Result<u64, String>>)> {
        let (to_disk, writes) = async_channel::unbounded::<StorageOperation>();
        let (told, stored) = async_channel::unbounded();
        std::thread::Builder::new()
            .name("registry".into())
            .spawn(move || {
                while let Ok(first) = writes.recv_blocking() {
                    let rest = std::iter::from_fn(|| writes.try_recv().ok()).take(AT_ONCE - 1);
                    let batch: Vec<StorageOperation> = std::iter::once(first).chain(rest).collect();
                    let number = batch.last().map_or(0, |write| write.number);
                    let result = disk
                        .apply(&batch)
                        .map(|()| number)
                        .map_err(|error| error.to_string());
                    let failed = result.is_err();
                    if told.send_blocking(result).is_err() || failed {
                        return;
                    }
                }
            })?;
        Ok((StorageThread(to_disk), stored))
    }

    /// Bounded by raft itself, which proposes no more than a megabyte that is not agreed.
    pub fn write(&self, write: StorageOperation) {
        let _ = self.0.try_send(write);
    }
}

//! The storage of a replica in one SQLite file. Each batch of operations is one transaction that is on disk before
//! [`SqliteStorage::apply`] returns (WAL, `synchronous = FULL`). Calls block, so the storage belongs on a dedicated
//! thread.
use crate::storage::{EncodedSnapshot, PersistedState, StorageOperation};
use crate::ReplicaId;
use rusqlite::{params, Connection, OptionalExtension, Row, Transaction, TransactionBehavior};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;

/// The layout version of the files that this program writes, and the newest that it reads.
const LAYOUT_VERSION: i64 = 1;
/// How long a statement waits for a lock that another connection holds.
const BUSY_TIMEOUT: Duration = Duration::from_secs(2);

/// Creates the tables that do not exist yet, and sets `user_version` to [`LAYOUT_VERSION`].
const CREATE_TABLES: &str = "PRAGMA journal_mode = WAL; PRAGMA synchronous = FULL;
     BEGIN IMMEDIATE;
     CREATE TABLE IF NOT EXISTS one (name TEXT PRIMARY KEY, number INTEGER, bytes BLOB) WITHOUT ROWID;
     CREATE TABLE IF NOT EXISTS entry (place INTEGER PRIMARY KEY, bytes BLOB NOT NULL);
     PRAGMA user_version = 1;
     COMMIT;";
/// Inserts or replaces one row of the table `one`.
const PUT_ROW: &str = "INSERT OR REPLACE INTO one VALUES (?1, ?2, ?3)";

/// The `name` of each row of the table `one`.
mod row_name {
    pub(super) const ID: &str = "id";
    pub(super) const HARD_STATE: &str = "hard";
    pub(super) const SNAPSHOT: &str = "snapshot";
    pub(super) const BOOTSTRAP_MEMBERS: &str = "founders";
}

/// Why a replica's file cannot be used. The message is one line.
#[derive(Debug, Error)]
pub enum StorageError {
    /// The file cannot be opened, read or prepared, for instance because it is not a SQLite file.
    #[error("{}: {source}", path.display())]
    Open {
        /// The file.
        path: PathBuf,
        /// The failure that SQLite reported.
        source: rusqlite::Error,
    },
    /// The file was written by a newer version of this program.
    #[error(
        "{}: layout version {found} is newer than this program supports: expected at most {supported}",
        path.display()
    )]
    UnsupportedLayout {
        /// The file.
        path: PathBuf,
        /// The layout version of the file.
        found: i64,
        /// The newest layout version that this program reads.
        supported: i64,
    },
    /// The initial members of the group, which the file holds, cannot be decoded.
    #[error(
        "{}: row \"founders\" cannot be decoded: {source}: expected the members that this program wrote",
        path.display()
    )]
    BootstrapMembers {
        /// The file.
        path: PathBuf,
        /// Why the bytes cannot be decoded.
        source: postcard::Error,
    },
    /// Operations could not be written. It is unknown whether they are on disk.
    #[error("{0}")]
    Write(#[source] rusqlite::Error),
}

/// One row of the table `one`.
struct StoredRow {
    /// 0 if the row has no number.
    number: i64,
    bytes: Option<Vec<u8>>,
}

/// The open file of one replica.
#[derive(Debug)]
pub struct SqliteStorage {
    connection: Connection,
}

impl SqliteStorage {
    /// Opens a file, or creates it with `id` as the id of its replica; an existing file keeps its own id. Also returns
    /// the state that the file holds.
    ///
    /// # Errors
    /// [`StorageError::Open`], [`StorageError::UnsupportedLayout`] and [`StorageError::BootstrapMembers`].
    pub fn open(path: &Path, id: ReplicaId) -> Result<(Self, PersistedState), StorageError> {
        let open_error = |source| StorageError::Open {
            path: path.to_path_buf(),
            source,
        };
        let connection = Connection::open(path).map_err(open_error)?;
        let found = layout_version(&connection).map_err(open_error)?;
        if found > LAYOUT_VERSION {
            return Err(StorageError::UnsupportedLayout {
                path: path.to_path_buf(),
                found,
                supported: LAYOUT_VERSION,
            });
        }
        prepare_tables(&connection, id).map_err(open_error)?;
        let storage = SqliteStorage { connection };
        let mut persisted = storage.load().map_err(open_error)?;
        let members = storage
            .load_row(row_name::BOOTSTRAP_MEMBERS)
            .map_err(open_error)?;
        if let Some(bytes) = members.and_then(|row| row.bytes) {
            let members = postcard::from_bytes(&bytes);
            persisted.bootstrap_members =
                Some(members.map_err(|source| StorageError::BootstrapMembers {
                    path: path.to_path_buf(),
                    source,
                })?);
        }
        Ok((storage, persisted))
    }

    /// Applies the operations in order, in one transaction that is on disk when this returns.
    ///
    /// # Errors
    /// [`StorageError::Write`]. The state on disk is then unknown, and the replica must not continue.
    pub fn apply(&mut self, operations: &[StorageOperation]) -> Result<(), StorageError> {
        self.apply_in_transaction(operations)
            .map_err(StorageError::Write)
    }

    fn apply_in_transaction(&mut self, operations: &[StorageOperation]) -> rusqlite::Result<()> {
        let transaction = self
            .connection
            .transaction_with_behavior(TransactionBehavior::Immediate)?;
        for operation in operations {
            write_operation(&transaction, operation)?;
        }
        transaction.commit()
    }

    fn load(&self) -> rusqlite::Result<PersistedState> {
        let id = self
            .load_row(row_name::ID)?
            .map_or(0, |row| row.number as u64);
        let mut persisted = PersistedState::new(ReplicaId(id));
        persisted.hard_state = self
            .load_row(row_name::HARD_STATE)?
            .and_then(|row| row.bytes);
        persisted.snapshot = self
            .load_row(row_name::SNAPSHOT)?
            .and_then(encoded_snapshot);
        persisted.entries = self.load_entries()?;
        Ok(persisted)
    }

    fn load_row(&self, name: &str) -> rusqlite::Result<Option<StoredRow>> {
        let query = "SELECT number, bytes FROM one WHERE name = ?1";
        let read = |row: &Row<'_>| {
            Ok(StoredRow {
                number: row.get::<_, Option<i64>>(0)?.unwrap_or(0),
                bytes: row.get(1)?,
            })
        };
        self.connection.query_row(query, [name], read).optional()
    }

    fn load_entries(&self) -> rusqlite::Result<BTreeMap<u64, Vec<u8>>> {
        let query = "SELECT place, bytes FROM entry ORDER BY place";
        let mut statement = self.connection.prepare(query)?;
        let read = |row: &Row<'_>| Ok((row.get::<_, i64>(0)? as u64, row.get(1)?));
        let entries = statement.query_map([], read)?;
        entries.collect()
    }
}

fn encoded_snapshot(row: StoredRow) -> Option<EncodedSnapshot> {
    Some(EncodedSnapshot {
        index: row.number as u64,
        bytes: row.bytes?,
    })
}

fn layout_version(connection: &Connection) -> rusqlite::Result<i64> {
    connection.busy_timeout(BUSY_TIMEOUT)?;
    connection.query_row("PRAGMA user_version", [], |row| row.get(0))
}

fn prepare_tables(connection: &Connection, id: ReplicaId) -> rusqlite::Result<()> {
    connection.execute_batch(CREATE_TABLES)?;
    // SQLite's integers are signed: the bits of the id are stored unchanged.
    let insert_id = "INSERT OR IGNORE INTO one VALUES (?1, ?2, NULL)";
    connection.execute(insert_id, params![row_name::ID, id.0 as i64])?;
    Ok(())
}

fn write_operation(
    transaction: &Transaction<'_>,
    operation: &StorageOperation,
) -> rusqlite::Result<()> {
    if let Some(hard_state) = &operation.hard_state {
        transaction.execute(PUT_ROW, params![row_name::HARD_STATE, 0, hard_state])?;
    }
    if let Some(EncodedSnapshot { index, bytes }) = &operation.snapshot {
        let index = *index as i64;
        transaction.execute(PUT_ROW, params![row_name::SNAPSHOT, index, bytes])?;
        transaction.execute("DELETE FROM entry WHERE place <= ?1", [index])?;
    }
    if let Some(members) = &operation.bootstrap_members {
        let bytes = postcard::to_allocvec(members).unwrap_or_default();
        transaction.execute(PUT_ROW, params![row_name::BOOTSTRAP_MEMBERS, 0, bytes])?;
    }
    if let Some(first) = operation.entries.first() {
        let first_index = first.index as i64;
        transaction.execute("DELETE FROM entry WHERE place >= ?1", [first_index])?;
    }
    for entry in &operation.entries {
        let insert = "INSERT INTO entry VALUES (?1, ?2)";
        transaction.execute(insert, params![entry.index as i64, entry.bytes])?;
    }
    Ok(())
}

//! A keeper's disk: one SQLite file, each write one transaction on disk before it returns (WAL, `synchronous = FULL`).
//! It belongs on a thread of its own.
use crate::storage::{PersistedState, StorageOperation};
use crate::ReplicaId;
use rusqlite::{params, Connection, OptionalExtension};
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

/// The layout that this version writes, and the newest that it reads.
const VERSION: i64 = 1;
const BUSY: Duration = Duration::from_secs(2);

#[derive(Debug)]
pub struct SqliteStorage(Connection);

fn text(error: rusqlite::Error) -> String {
    error.to_string()
}

impl SqliteStorage {
    /// Opens a file, or makes it with `id` as the number of its keeper. An error says in one line what is wrong.
    pub fn open(path: &Path, id: ReplicaId) -> Result<(Self, PersistedState), String> {
        let at = |what: String| format!("{}: {what}", path.display());
        let db = Connection::open(path).map_err(text).map_err(at)?;
        Self::prepared(db, id).map_err(at)
    }

    fn prepared(db: Connection, id: ReplicaId) -> Result<(Self, PersistedState), String> {
        db.busy_timeout(BUSY).map_err(text)?;
        let version: i64 = db
            .query_row("PRAGMA user_version", [], |row| row.get(0))
            .map_err(text)?;
        if version > VERSION {
            return Err(format!(
                "layout {version} is newer than this program: expected at most {VERSION}"
            ));
        }
        db.execute_batch(
            "PRAGMA journal_mode = WAL; PRAGMA synchronous = FULL;
             BEGIN IMMEDIATE;
             CREATE TABLE IF NOT EXISTS one (name TEXT PRIMARY KEY, number INTEGER, bytes BLOB) WITHOUT ROWID;
             CREATE TABLE IF NOT EXISTS entry (place INTEGER PRIMARY KEY, bytes BLOB NOT NULL);
             PRAGMA user_version = 1;
             COMMIT;",
        )
        .map_err(text)?;
        // SQLite's integers are signed: the bits stay as they are.
        db.execute(
            "INSERT OR IGNORE INTO one VALUES ('id', ?1, NULL)",
            [id.0 as i64],
        )
        .map_err(text)?;
        let disk = SqliteStorage(db);
        let saved = disk.load().map_err(text)?;
        Ok((disk, saved))
    }

    fn one(&self, name: &str) -> rusqlite::Result<Option<(i64, Option<Vec<u8>>)>> {
        let read =
            |row: &rusqlite::Row<'_>| Ok((row.get::<_, Option<i64>>(0)?.unwrap_or(0), row.get(1)?));
        self.0
            .query_row(
                "SELECT number, bytes FROM one WHERE name = ?1",
                [name],
                read,
            )
            .optional()
    }

    fn load(&self) -> rusqlite::Result<PersistedState> {
        let id = self.one("id")?.map_or(0, |(number, _)| number as u64);
        let mut saved = PersistedState::new(ReplicaId(id));
        saved.hard_state = self.one("hard")?.and_then(|(_, bytes)| bytes);
        saved.snapshot = self
            .one("snapshot")?
            .and_then(|(index, bytes)| Some((index as u64, bytes?)));
        let founders = self.one("founders")?.and_then(|(_, bytes)| bytes);
        saved.bootstrap_members = founders.and_then(|bytes| postcard::from_bytes(&bytes).ok());
        let mut rows = self
            .0
            .prepare("SELECT place, bytes FROM entry ORDER BY place")?;
        let rows = rows.query_map([], |row| Ok((row.get::<_, i64>(0)? as u64, row.get(1)?)))?;
        saved.entries = rows.collect::<rusqlite::Result<BTreeMap<u64, Vec<u8>>>>()?;
        Ok(saved)
    }

    /// All of them, in their order, are on disk when it returns; after an error nothing is known, and the keeper must
    /// not go on.
    pub fn apply(&mut self, writes: &[StorageOperation]) -> Result<(), String> {
        self.carry_out(writes).map_err(text)
    }

    fn carry_out(&mut self, writes: &[StorageOperation]) -> rusqlite::Result<()> {
        let step = self
            .0
            .transaction_with_behavior(rusqlite::TransactionBehavior::Immediate)?;
        for write in writes {
            Self::put(&step, write)?;
        }
        step.commit()
    }

    fn put(step: &rusqlite::Transaction<'_>, write: &StorageOperation) -> rusqlite::Result<()> {
        let put = "INSERT OR REPLACE INTO one VALUES (?1, ?2, ?3)";
        if let Some(hard) = &write.hard_state {
            step.execute(put, params!["hard", 0, hard])?;
        }
        if let Some((index, bytes)) = &write.snapshot {
            step.execute(put, params!["snapshot", *index as i64, bytes])?;
            step.execute("DELETE FROM entry WHERE place <= ?1", [*index as i64])?;
        }
        if let Some(founders) = &write.bootstrap_members {
            let bytes = postcard::to_allocvec(founders).unwrap_or_default();
            step.execute(put, params!["founders", 0, bytes])?;
        }
        if let Some((first, _)) = write.entries.first() {
            step.execute("DELETE FROM entry WHERE place >= ?1", [*first as i64])?;
        }
        for (index, bytes) in &write.entries {
            step.execute(
                "INSERT INTO entry VALUES (?1, ?2)",
                params![*index as i64, bytes],
            )?;
        }
        Ok(())
    }
}

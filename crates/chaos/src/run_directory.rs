//! The directory for the temporary files of this process. It is removed after the process has ended.
use crate::helper;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Child;
use std::sync::Mutex;

/// The directory, and the process that removes it once its standard input is closed, at the end of this process.
struct RunDirectory {
    path: PathBuf,
    _remover: Child,
}

static RUN_DIRECTORY: Mutex<Option<RunDirectory>> = Mutex::new(None);

/// The path of the directory, which is created by the first call.
pub(crate) fn path() -> io::Result<PathBuf> {
    let mut current = RUN_DIRECTORY
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    if let Some(directory) = &*current {
        return Ok(directory.path.clone());
    }
    let name = format!("cottondyke-lab-{}", std::process::id());
    let directory = create(&std::env::temp_dir().join(name))?;
    let path = directory.path.clone();
    *current = Some(directory);
    Ok(path)
}

fn create(path: &Path) -> io::Result<RunDirectory> {
    std::fs::create_dir_all(path)?;
    Ok(RunDirectory {
        path: path.to_path_buf(),
        _remover: helper::remove_at_end(path)?,
    })
}

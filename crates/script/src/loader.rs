//! Reads and evaluates the files of one evaluation. Each is evaluated only once, so that its declarations are
//! recorded once.
use crate::error::EvaluationError;
use crate::globals::Recorder;
use crate::limits::{
    MAX_CALL_DEPTH, MAX_FILES, MAX_FILE_BYTES, MAX_HEAP_BYTES, MAX_LOAD_DEPTH, MAX_TICKS,
};
use starlark::environment::{FrozenModule, Globals, Module};
use starlark::eval::{Evaluator, FileLoader};
use starlark::syntax::{AstModule, Dialect};
use starlark::values::FrozenHeapName;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::path::{Component, Path, PathBuf};

/// The files of one evaluation.
pub(crate) struct ScriptLoader<'a> {
    /// The canonical path of the script's directory, outside of which nothing is read.
    directory: PathBuf,
    globals: &'a Globals,
    recorder: &'a Recorder,
    /// The files evaluated so far, by canonical path.
    loaded: RefCell<BTreeMap<PathBuf, FrozenModule>>,
    /// The canonical paths of the files being evaluated, the script itself first.
    loading: RefCell<Vec<PathBuf>>,
    /// The steps of the interpreter that the files evaluated so far have taken.
    ticks: Cell<u64>,
}

impl<'a> ScriptLoader<'a> {
    /// A loader of the script at `path` and of what it loads.
    pub(crate) fn new(
        path: &Path,
        globals: &'a Globals,
        recorder: &'a Recorder,
    ) -> io::Result<Self> {
        let directory = path
            .parent()
            .filter(|parent| !parent.as_os_str().is_empty())
            .unwrap_or(Path::new("."));
        Ok(ScriptLoader {
            directory: directory.canonicalize()?,
            globals,
            recorder,
            loaded: RefCell::default(),
            loading: RefCell::new(vec![path.canonicalize()?]),
            ticks: Cell::new(0),
        })
    }

    /// Evaluates one file.
    pub(crate) fn evaluate_file(&self, path: &Path) -> starlark::Result<FrozenModule> {
        let file = path.display().to_string();
        let dialect = Dialect {
            enable_top_level_stmt: true,
            enable_f_strings: true,
            ..Dialect::Standard
        };
        let ast = AstModule::parse(&file, read_file(path, &file)?, &dialect)?;
        Module::with_temp_heap(|module| {
            self.evaluate_module(&module, ast, &file)?;
            let name = FrozenHeapName::User(Box::new(file.clone()));
            module.freeze_named(name).map_err(|error| {
                let reason = format!("{error:?}");
                EvaluationError::CannotFreeze { file, reason }.into()
            })
        })
    }

    fn evaluate_module(&self, module: &Module, ast: AstModule, file: &str) -> starlark::Result<()> {
        let mut eval = Evaluator::new(module);
        let ticks_left = MAX_TICKS.saturating_sub(self.ticks.get()).max(1);
        eval.set_max_tick_count(ticks_left)
            .map_err(starlark::Error::new_other)?;
        eval.set_max_heap_size(MAX_HEAP_BYTES)
            .map_err(starlark::Error::new_other)?;
        eval.set_max_callstack_size(MAX_CALL_DEPTH)
            .map_err(starlark::Error::new_other)?;
        eval.extra = Some(self.recorder);
        eval.set_loader(self);
        eval.eval_module(ast, self.globals)?;
        // The interpreter checks its limits only periodically, so the totals at the end may exceed them.
        self.ticks
            .set(self.ticks.get() + eval.get_total_tick_count());
        let heap_bytes = eval.heap().peak_allocated_bytes();
        if self.ticks.get() > MAX_TICKS || heap_bytes > MAX_HEAP_BYTES {
            let file = file.to_string();
            return Err(EvaluationError::LimitExceeded { file }.into());
        }
        Ok(())
    }

    /// The canonical path of a file that a script loads.
    fn resolve(&self, path: &str) -> Result<PathBuf, EvaluationError> {
        let relative = Path::new(path);
        let is_valid = relative
            .components()
            .all(|component| matches!(component, Component::Normal(_)));
        if !is_valid || path.is_empty() {
            let path = path.to_string();
            return Err(EvaluationError::InvalidPath { path });
        }
        let canonical = self
            .directory
            .join(relative)
            .canonicalize()
            .map_err(|source| EvaluationError::NotFound {
                path: path.to_string(),
                source,
            })?;
        // A symbolic link may lead out of the directory.
        if !canonical.starts_with(&self.directory) {
            let path = path.to_string();
            return Err(EvaluationError::OutsideDirectory { path });
        }
        Ok(canonical)
    }

    /// Checks that one more file may be loaded.
    fn check_load(&self, path: &str, canonical: &PathBuf) -> Result<(), EvaluationError> {
        let path = path.to_string();
        let loading = self.loading.borrow();
        if loading.contains(canonical) {
            return Err(EvaluationError::CircularLoad { path });
        }
        if loading.len() >= MAX_LOAD_DEPTH || self.loaded.borrow().len() >= MAX_FILES {
            return Err(EvaluationError::TooManyLoads { path });
        }
        Ok(())
    }
}

impl FileLoader for ScriptLoader<'_> {
    fn load(&self, path: &str) -> starlark::Result<FrozenModule> {
        let canonical = self.resolve(path)?;
        if let Some(module) = self.loaded.borrow().get(&canonical) {
            return Ok(module.clone());
        }
        self.check_load(path, &canonical)?;
        self.loading.borrow_mut().push(canonical.clone());
        let module = self.evaluate_file(&canonical);
        self.loading.borrow_mut().pop();
        let module = module?;
        self.loaded.borrow_mut().insert(canonical, module.clone());
        Ok(module)
    }
}

/// Reads a file of bounded size; `file` is its name in errors.
fn read_file(path: &Path, file: &str) -> Result<String, EvaluationError> {
    let cannot_read = |source| EvaluationError::CannotRead {
        file: file.to_string(),
        source,
    };
    let bytes = std::fs::metadata(path).map_err(cannot_read)?.len();
    if bytes > MAX_FILE_BYTES {
        let file = file.to_string();
        return Err(EvaluationError::FileTooLarge { file, bytes });
    }
    std::fs::read_to_string(path).map_err(cannot_read)
}

//! Runs a script within bounds of steps, depth, heap and files, and records what it declares. Nothing is opened but
//! the script and what it loads from its folder. The heap is only looked at now and then, and no interpreter bounds
//! one allocation: the program beside this library runs it under the system's limits.
#![expect(missing_docs, reason = "not yet read through; see docs/ROADMAP.md")]

use cottondyke_operator_config::{ConfigError, Declaration, SourceLocation};
use serde_json::Value as Json;
use starlark::collections::SmallMap;
use starlark::environment::{FrozenModule, Globals, GlobalsBuilder, LibraryExtension, Module};
use starlark::eval::{Evaluator, FileLoader};
use starlark::starlark_module;
use starlark::syntax::{AstModule, Dialect};
use starlark::values::none::NoneType;
use starlark::values::tuple::UnpackTuple;
use starlark::values::{FrozenHeapName, Value};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::path::{Component, Path, PathBuf};

/// Function calls and turns of loops, over all files.
pub const MAX_TICKS: u64 = 200_000;
/// Calls within calls.
pub const DEEPEST: usize = 60;
/// Bytes of the script's heap, for each file.
pub const MAX_HEAP: usize = 16 << 20;
/// Bytes of one file, files loaded, and loads within loads.
pub const MAX_TEXT: u64 = 256 << 10;
pub const MAX_FILES: usize = 32;
pub const DEEPEST_LOAD: usize = 8;
/// Declarations of any kind.
pub const MAX_DECLARED: usize = 4_096;

/// What was declared so far, each as JSON: the interpreter hands on only types that it knows.
type Store = RefCell<Vec<String>>;

fn place(eval: &Evaluator) -> SourceLocation {
    eval.call_stack_top_location()
        .map_or(SourceLocation::default(), |span| SourceLocation {
            file: span.filename().to_string(),
            line: span.resolve_span().begin.line + 1,
        })
}

fn recorded<'v>(
    function: &str,
    eval: &Evaluator<'v, '_, '_>,
    args: UnpackTuple<Value<'v>>,
    named: SmallMap<String, Value<'v>>,
) -> anyhow::Result<Declaration> {
    let typed = |what: &str, value: Value<'v>| {
        value.to_json_value().map_err(|_| {
            anyhow::anyhow!(
                "{function}: {what} is a {}: expected a plain value",
                value.get_type()
            )
        })
    };
    let args = args
        .items
        .into_iter()
        .map(|v| typed("an argument", v))
        .collect::<Result<_, _>>()?;
    let named = named
        .into_iter()
        .map(|(name, v)| Ok((name.clone(), typed(&name, v)?)));
    Ok(Declaration {
        function: function.to_string(),
        at: place(eval),
        positional: args,
        named: named.collect::<anyhow::Result<_>>()?,
    })
}

/// Records a declaration, and returns its name to be used where a name is asked for.
fn declare<'v>(
    function: &str,
    eval: &Evaluator<'v, '_, '_>,
    args: UnpackTuple<Value<'v>>,
    named: SmallMap<String, Value<'v>>,
) -> anyhow::Result<String> {
    let declared = recorded(function, eval, args, named)?;
    let name = declared
        .positional
        .first()
        .and_then(Json::as_str)
        .unwrap_or_default()
        .to_string();
    let store = eval.extra.and_then(|extra| extra.downcast_ref::<Store>());
    let mut all = store
        .ok_or_else(|| anyhow::anyhow!("{function} cannot be called here"))?
        .borrow_mut();
    if all.len() >= MAX_DECLARED {
        anyhow::bail!("{function}: more than {MAX_DECLARED} declarations");
    }
    all.push(serde_json::to_string(&declared)?);
    Ok(name)
}

/// A value for another declaration, which finds out by its mark what it is and where it was made.
fn made<'v>(
    function: &str,
    eval: &Evaluator<'v, '_, '_>,
    args: UnpackTuple<Value<'v>>,
    named: SmallMap<String, Value<'v>>,
) -> anyhow::Result<Json> {
    recorded(function, eval, args, named).map(Declaration::into_value)
}

#[starlark_module]
#[allow(clippy::unused_unit)]
fn declarations(builder: &mut GlobalsBuilder) {
    fn serve<'v>(
        #[starlark(args)] args: UnpackTuple<Value<'v>>,
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        declare("serve", eval, args, named).map(|_| NoneType)
    }

    fn fleet<'v>(
        #[starlark(args)] args: UnpackTuple<Value<'v>>,
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        declare("fleet", eval, args, named).map(|_| NoneType)
    }

    fn peers<'v>(
        #[starlark(args)] args: UnpackTuple<Value<'v>>,
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        declare("peers", eval, args, named).map(|_| NoneType)
    }

    fn handler<'v>(
        #[starlark(args)] args: UnpackTuple<Value<'v>>,
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<String> {
        declare("handler", eval, args, named)
    }

    fn customer<'v>(
        #[starlark(args)] args: UnpackTuple<Value<'v>>,
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<String> {
        declare("customer", eval, args, named)
    }

    fn dependency<'v>(
        #[starlark(args)] args: UnpackTuple<Value<'v>>,
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<String> {
        declare("dependency", eval, args, named)
    }

    fn page<'v>(
        #[starlark(args)] args: UnpackTuple<Value<'v>>,
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<String> {
        declare("page", eval, args, named)
    }

    fn defences<'v>(
        #[starlark(args)] args: UnpackTuple<Value<'v>>,
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        declare("defences", eval, args, named).map(|_| NoneType)
    }

    fn part<'v>(
        #[starlark(args)] args: UnpackTuple<Value<'v>>,
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Json> {
        made("part", eval, args, named)
    }

    fn kept<'v>(
        #[starlark(args)] args: UnpackTuple<Value<'v>>,
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Json> {
        made("kept", eval, args, named)
    }

    fn other<'v>(
        #[starlark(args)] args: UnpackTuple<Value<'v>>,
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Json> {
        made("other", eval, args, named)
    }

    fn fixed<'v>(
        #[starlark(args)] args: UnpackTuple<Value<'v>>,
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Json> {
        made("fixed", eval, args, named)
    }

    fn leave_out<'v>(
        #[starlark(args)] args: UnpackTuple<Value<'v>>,
        #[starlark(kwargs)] named: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Json> {
        made("leave_out", eval, args, named)
    }
}

/// The files of one evaluation: each is read and run once, and what it declares counts once.
struct Files<'a> {
    folder: PathBuf,
    globals: &'a Globals,
    store: &'a Store,
    loaded: RefCell<BTreeMap<PathBuf, FrozenModule>>,
    /// Files that are being loaded now, outermost first.
    loading: RefCell<Vec<PathBuf>>,
    ticks: Cell<u64>,
}

fn other(what: String) -> starlark::Error {
    starlark::Error::new_other(anyhow::anyhow!(what))
}

impl FileLoader for Files<'_> {
    fn load(&self, path: &str) -> starlark::Result<FrozenModule> {
        let relative = Path::new(path);
        let plain = relative
            .components()
            .all(|part| matches!(part, Component::Normal(_)));
        if !plain || path.is_empty() {
            return Err(other(format!(
                "load({path:?}): expected a file in the script's own folder"
            )));
        }
        let full = self.folder.join(relative).canonicalize();
        let full = full.map_err(|e| other(format!("load({path:?}): {e}")))?;
        // A link may lead elsewhere.
        if !full.starts_with(&self.folder) {
            return Err(other(format!(
                "load({path:?}): it lies outside the script's folder"
            )));
        }
        if let Some(module) = self.loaded.borrow().get(&full) {
            return Ok(module.clone());
        }
        if self.loading.borrow().contains(&full) {
            return Err(other(format!(
                "load({path:?}): the files load each other in a circle"
            )));
        }
        if self.loading.borrow().len() >= DEEPEST_LOAD || self.loaded.borrow().len() >= MAX_FILES {
            return Err(other(format!(
                "load({path:?}): expected at most {MAX_FILES} files, {DEEPEST_LOAD} deep"
            )));
        }
        self.loading.borrow_mut().push(full.clone());
        let module = self.evaluate(&full);
        self.loading.borrow_mut().pop();
        let module = module?;
        self.loaded.borrow_mut().insert(full, module.clone());
        Ok(module)
    }
}

impl Files<'_> {
    fn evaluate(&self, path: &Path) -> starlark::Result<FrozenModule> {
        let shown = path.display().to_string();
        let size = std::fs::metadata(path)
            .map_err(|e| other(format!("{shown}: {e}")))?
            .len();
        if size > MAX_TEXT {
            return Err(other(format!(
                "{shown}: {size} bytes, expected at most {MAX_TEXT}"
            )));
        }
        let text = std::fs::read_to_string(path).map_err(|e| other(format!("{shown}: {e}")))?;
        let dialect = Dialect {
            enable_top_level_stmt: true,
            enable_f_strings: true,
            ..Dialect::Standard
        };
        let ast = AstModule::parse(&shown, text, &dialect)?;
        Module::with_temp_heap(|module| {
            let mut eval = Evaluator::new(&module);
            let ticks = MAX_TICKS.saturating_sub(self.ticks.get()).max(1);
            eval.set_max_tick_count(ticks)
                .map_err(starlark::Error::new_other)?;
            eval.set_max_heap_size(MAX_HEAP)
                .map_err(starlark::Error::new_other)?;
            eval.set_max_callstack_size(DEEPEST)
                .map_err(starlark::Error::new_other)?;
            eval.extra = Some(self.store);
            eval.set_loader(self);
            eval.eval_module(ast, self.globals)?;
            // The interpreter looks now and then; this is what it ended with.
            let (ticks, heap) = (
                eval.get_total_tick_count(),
                eval.heap().peak_allocated_bytes(),
            );
            self.ticks.set(self.ticks.get() + ticks);
            if self.ticks.get() > MAX_TICKS || heap > MAX_HEAP {
                return Err(other(format!(
                    "{shown}: expected at most {MAX_TICKS} steps and {MAX_HEAP} bytes"
                )));
            }
            drop(eval);
            let name = FrozenHeapName::User(Box::new(shown.clone()));
            module
                .freeze_named(name)
                .map_err(|e| other(format!("{shown}: {e:?}")))
        })
    }
}

/// What an error of the interpreter says, on one line: of its text what stands before its drawing of the source.
fn wrong(path: &str, error: &starlark::Error) -> ConfigError {
    let at = error.span().map(|span| SourceLocation {
        file: span.filename().to_string(),
        line: span.resolve_span().begin.line + 1,
    });
    let text = error.without_diagnostic().to_string();
    let lines: Vec<_> = text
        .lines()
        .map(str::trim)
        .filter(|line| !line.is_empty())
        .collect();
    let what = lines.join("; ");
    let what = what.chars().filter(|c| !c.is_control()).take(400).collect();
    ConfigError {
        location: at.unwrap_or(SourceLocation {
            file: path.to_string(),
            line: 0,
        }),
        message: what,
    }
}

fn wrong_text(path: &str, what: &str) -> ConfigError {
    ConfigError {
        location: SourceLocation {
            file: path.to_string(),
            line: 0,
        },
        message: what.to_string(),
    }
}

/// What the script at `path` declares, in its order.
pub fn run(path: &Path) -> Result<Vec<Declaration>, ConfigError> {
    let shown = path.display().to_string();
    let globals = GlobalsBuilder::extended_by(&[LibraryExtension::Json])
        .with(declarations)
        .build();
    let store = Store::default();
    let folder = path
        .parent()
        .filter(|p| !p.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    let unread = |e: std::io::Error| ConfigError {
        location: SourceLocation {
            file: shown.clone(),
            line: 0,
        },
        message: format!("cannot be read: {e}"),
    };
    let files = Files {
        folder: folder.canonicalize().map_err(unread)?,
        globals: &globals,
        store: &store,
        loaded: RefCell::default(),
        loading: RefCell::default(),
        ticks: Cell::new(0),
    };
    let full = path.canonicalize().map_err(unread)?;
    files.loading.borrow_mut().push(full);
    files
        .evaluate(path)
        .map_err(|error| wrong(&shown, &error))?;
    drop(files);
    let read =
        |text: &String| serde_json::from_str(text).map_err(|e| wrong_text(&shown, &e.to_string()));
    let declared = store.borrow().iter().map(read).collect();
    declared
}

//! The operator's functions, which are the globals of a script.
//!
//! A call of a *declaration* (`handler`, `page` ...) is recorded for the whole evaluation. A call of a *value function*
//! (`part`, `kept` ...) returns a value that the script passes to a declaration.
use crate::error::{location_of, EvaluationError};
use crate::limits::MAX_DECLARATIONS;
use cottondyke_operator_config::{ConfigError, Declaration, SourceLocation};
use serde_json::Value as Json;
use starlark::collections::SmallMap;
use starlark::environment::{Globals, GlobalsBuilder, LibraryExtension};
use starlark::eval::Evaluator;
use starlark::starlark_module;
use starlark::values::none::NoneType;
use starlark::values::tuple::UnpackTuple;
use starlark::values::Value;
use std::cell::RefCell;

/// The declarations of an evaluation so far, each as JSON text, because the `extra` of an evaluator can refer only to
/// types that the interpreter knows.
pub(crate) type Recorder = RefCell<Vec<String>>;

/// The globals of every file of an evaluation.
pub(crate) fn operator_globals() -> Globals {
    GlobalsBuilder::extended_by(&[LibraryExtension::Json])
        .with(operator_functions)
        .build()
}

/// The recorded declarations, in the order of the calls.
pub(crate) fn recorded_declarations(
    file: &str,
    recorder: &Recorder,
) -> Result<Vec<Declaration>, ConfigError> {
    let read = |text: &String| {
        serde_json::from_str(text)
            .map_err(|error| ConfigError::new(SourceLocation::file_only(file), error))
    };
    recorder.borrow().iter().map(read).collect()
}

/// Defines the operator's functions: the name in scripts, the function that handles a call, and the return type.
macro_rules! define_operator_functions {
    ($($name:ident => $handle_call:ident -> $returned:ident;)+) => {
        #[starlark_module]
        fn operator_functions(builder: &mut GlobalsBuilder) {
            $(
                fn $name<'v>(
                    #[starlark(args)] positional: UnpackTuple<Value<'v>>,
                    #[starlark(kwargs)] named: SmallMap<String, Value<'v>>,
                    eval: &mut Evaluator<'v, '_, '_>,
                ) -> anyhow::Result<$returned> {
                    let declaration =
                        to_declaration(stringify!($name), eval, positional, named)?;
                    Ok($handle_call(stringify!($name), eval, declaration)?)
                }
            )+
        }
    };
}

define_operator_functions! {
    serve => declare -> NoneType;
    fleet => declare -> NoneType;
    peers => declare -> NoneType;
    defences => declare -> NoneType;
    handler => declare_named -> String;
    customer => declare_named -> String;
    dependency => declare_named -> String;
    page => declare_named -> String;
    part => encode_call -> Json;
    kept => encode_call -> Json;
    other => encode_call -> Json;
    fixed => encode_call -> Json;
    leave_out => encode_call -> Json;
}

/// Records a declaration.
fn declare(
    function: &'static str,
    eval: &Evaluator,
    declaration: Declaration,
) -> Result<NoneType, EvaluationError> {
    let recorder = eval
        .extra
        .and_then(|extra| extra.downcast_ref::<Recorder>())
        .ok_or(EvaluationError::MissingRecorder { function })?;
    let mut declarations = recorder.borrow_mut();
    if declarations.len() >= MAX_DECLARATIONS {
        return Err(EvaluationError::TooManyDeclarations { function });
    }
    declarations.push(serde_json::to_string(&declaration)?);
    Ok(NoneType)
}

/// Records a declaration, and returns its first positional argument, its name, for use where a name is expected; an
/// empty string if the name is given as a named argument.
fn declare_named(
    function: &'static str,
    eval: &Evaluator,
    declaration: Declaration,
) -> Result<String, EvaluationError> {
    let name = declaration
        .positional
        .first()
        .and_then(Json::as_str)
        .unwrap_or_default()
        .to_string();
    declare(function, eval, declaration)?;
    Ok(name)
}

/// Encodes the call as a value for use in a declaration.
fn encode_call(
    _function: &'static str,
    _eval: &Evaluator,
    call: Declaration,
) -> Result<Json, EvaluationError> {
    Ok(call.into_value())
}

/// Builds the declaration for the call of `function` that the evaluator is executing.
fn to_declaration<'v>(
    function: &'static str,
    eval: &Evaluator<'v, '_, '_>,
    positional: UnpackTuple<Value<'v>>,
    named: SmallMap<String, Value<'v>>,
) -> Result<Declaration, EvaluationError> {
    let positional = positional
        .items
        .into_iter()
        .map(|value| to_json(function, "a positional argument", value))
        .collect::<Result<_, _>>()?;
    let named = named
        .into_iter()
        .map(|(name, value)| {
            let value = to_json(function, &name, value)?;
            Ok((name, value))
        })
        .collect::<Result<_, EvaluationError>>()?;
    let at = eval
        .call_stack_top_location()
        .map_or_else(SourceLocation::default, |span| location_of(&span));
    Ok(Declaration {
        function: function.to_string(),
        at,
        positional,
        named,
    })
}

fn to_json(function: &'static str, argument: &str, value: Value) -> Result<Json, EvaluationError> {
    value
        .to_json_value()
        .map_err(|_| EvaluationError::NotJsonCompatible {
            function,
            argument: argument.to_string(),
            type_name: value.get_type(),
        })
}

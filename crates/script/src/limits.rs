//! The limits of one evaluation.

/// The maximum number of steps of the interpreter (function calls and loop iterations; the crate `starlark` calls them
/// ticks), over all files.
pub const MAX_TICKS: u64 = 200_000;
/// The maximum depth of nested function calls.
pub const MAX_CALL_DEPTH: usize = 60;
/// The maximum heap of the script, in bytes for each file.
pub const MAX_HEAP_BYTES: usize = 16 << 20;
/// The maximum size of one file, in bytes.
pub const MAX_FILE_BYTES: u64 = 256 << 10;
/// The maximum number of files that are loaded.
pub const MAX_FILES: usize = 32;
/// The maximum depth of nested loads, including the script itself.
pub const MAX_LOAD_DEPTH: usize = 8;
/// The maximum number of declarations, of all kinds together.
pub const MAX_DECLARATIONS: usize = 4_096;

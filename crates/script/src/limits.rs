//! What one evaluation may take.

/// Function calls and loop iterations, over all files.
pub const MAX_TICKS: u64 = 200_000;
/// Function calls within function calls.
pub const MAX_CALL_DEPTH: usize = 60;
/// The heap of the script, in bytes for each file.
pub const MAX_HEAP_BYTES: usize = 16 << 20;
/// The size of one file, in bytes.
pub const MAX_FILE_BYTES: u64 = 256 << 10;
/// Files that may be loaded.
pub const MAX_FILES: usize = 32;
/// Files being loaded within each other, the script itself among them.
pub const MAX_LOAD_DEPTH: usize = 8;
/// Declarations of all kinds together.
pub const MAX_DECLARATIONS: usize = 4_096;

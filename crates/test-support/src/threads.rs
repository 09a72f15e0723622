//! Settings of the fakes' threads.

/// Stack of a fake's thread, in bytes: fakes start hundreds of threads, and none of them nests calls deeply.
pub(crate) const THREAD_STACK_BYTES: usize = 128 << 10;

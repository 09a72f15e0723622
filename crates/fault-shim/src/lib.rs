//! Makes system calls of a child process fail. A test loads this library with `LD_PRELOAD` into the process under test;
//! no program is linked against it.
//!
//! The environment variable `FAULT_SHIM` holds the plan: rules `CALL=ERRNO/N`, separated by spaces, such as
//! `recv=EINTR/3 accept4=ECONNABORTED/2`. One call in N fails, on average, with the error and without having done
//! anything; which ones follows from the seed in `FAULT_SHIM_SEED`. After [`LOGGED_COUNT`] failures of a call, one line
//! on standard error names the call, so that a test can check that its faults occurred.
//!
//! Only calls that go through the C library are reached. `rustix` makes its system calls directly: `async-io` connects
//! and waits for events with it.
mod plan;

use libc::{c_char, c_int, c_long, c_void, size_t, sockaddr, socklen_t, ssize_t};
use plan::{Call, Plan};
use std::sync::OnceLock;

/// The number of failures of one call after which a line is written.
pub const LOGGED_COUNT: u32 = 20;

/// The plan of this process, read at its first call.
static PLAN: OnceLock<Plan> = OnceLock::new();

/// The value of an environment variable, read without the locks of the standard library: a call may be made while they
/// are held.
fn environment_variable(name: &std::ffi::CStr) -> Option<String> {
    // SAFETY: `name` ends in a zero byte. The process under test does not change its environment.
    let value: *const c_char = unsafe { libc::getenv(name.as_ptr()) };
    if value.is_null() {
        return None;
    }
    // SAFETY: `getenv` returned a string that ends in a zero byte.
    let value = unsafe { std::ffi::CStr::from_ptr(value) };
    value.to_str().ok().map(String::from)
}

fn plan() -> &'static Plan {
    PLAN.get_or_init(|| {
        let rules = environment_variable(c"FAULT_SHIM").unwrap_or_default();
        let seed = environment_variable(c"FAULT_SHIM_SEED").and_then(|seed| seed.parse().ok());
        Plan::parse(&rules, seed.unwrap_or(1))
    })
}

/// Decides whether this call fails; if so, sets `errno`.
fn fails(call: Call) -> bool {
    let Some(failure) = plan().next_failure(call) else {
        return false;
    };
    if failure.count == LOGGED_COUNT {
        let line = format!("fault shim: {LOGGED_COUNT} failures of {}\n", call.name());
        // SAFETY: the pointer and the length are those of `line`.
        unsafe { libc::syscall(libc::SYS_write, 2, line.as_ptr(), line.len()) };
    }
    // SAFETY: the C library returns a valid pointer to this thread's `errno`.
    unsafe { *libc::__errno_location() = failure.errno };
    true
}

/// Defines a function that replaces the one of the C library: it fails by the plan, or makes the system call.
macro_rules! replace {
    ($call:ident, $name:ident ( $($argument:ident : $type:ty),* ) -> $result:ty, $number:expr, ($($passed:expr),*)) => {
        /// Replaces the function of the same name of the C library.
        ///
        /// # Safety
        /// The arguments must be valid for the system call.
        #[no_mangle]
        pub unsafe extern "C" fn $name($($argument: $type),*) -> $result {
            if fails(Call::$call) {
                return -1;
            }
            // SAFETY: the caller's arguments are passed on unchanged.
            unsafe { libc::syscall($number as c_long, $($passed),*) as $result }
        }
    };
}

const NO_ADDRESS: *const sockaddr = std::ptr::null();
const NO_LENGTH: *const socklen_t = std::ptr::null();

replace!(Recv, recv(socket: c_int, bytes: *mut c_void, size: size_t, flags: c_int) -> ssize_t,
    libc::SYS_recvfrom, (socket, bytes, size, flags, NO_ADDRESS, NO_LENGTH));
replace!(Recv, recvfrom(socket: c_int, bytes: *mut c_void, size: size_t, flags: c_int, from: *mut sockaddr,
    length: *mut socklen_t) -> ssize_t, libc::SYS_recvfrom, (socket, bytes, size, flags, from, length));
replace!(Send, send(socket: c_int, bytes: *const c_void, size: size_t, flags: c_int) -> ssize_t,
    libc::SYS_sendto, (socket, bytes, size, flags, NO_ADDRESS, 0));
replace!(Send, sendto(socket: c_int, bytes: *const c_void, size: size_t, flags: c_int, to: *const sockaddr,
    length: socklen_t) -> ssize_t, libc::SYS_sendto, (socket, bytes, size, flags, to, length));
replace!(Read, read(file: c_int, bytes: *mut c_void, size: size_t) -> ssize_t,
    libc::SYS_read, (file, bytes, size));
replace!(Write, write(file: c_int, bytes: *const c_void, size: size_t) -> ssize_t,
    libc::SYS_write, (file, bytes, size));
replace!(Accept4, accept4(socket: c_int, from: *mut sockaddr, length: *mut socklen_t, flags: c_int) -> c_int,
    libc::SYS_accept4, (socket, from, length, flags));
replace!(Connect, connect(socket: c_int, to: *const sockaddr, length: socklen_t) -> c_int,
    libc::SYS_connect, (socket, to, length));

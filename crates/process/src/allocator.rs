//! Settings of the memory allocator.
//!
//! Invariants: a large block goes back to the system when it is freed, so that the memory of a process follows what
//! it holds and not its past.
//!
//! API boundary: a program calls [`configure`] before it allocates much, and [`trim`] after it has freed much.

/// The size from which a block is mapped by itself. The allocator of glibc raises its own threshold to the size of
/// the largest block that was freed; large blocks then leave gaps between small ones that are not given back.
#[cfg(target_env = "gnu")]
const MAPPED_BYTES: libc::c_int = 16 << 10;

/// The free memory at the end of the heap from which a single free gives it back. The default of 128 KiB would shrink
/// and grow the heap again and again in ordinary traffic; [`trim`] gives back the rest.
#[cfg(target_env = "gnu")]
const TOP_BYTES: libc::c_int = 2 << 20;

/// Makes the allocator give back large blocks at once.
pub fn configure() {
    #[cfg(target_env = "gnu")]
    // SAFETY: `mallopt` is thread-safe and reads nothing but its two arguments.
    unsafe {
        libc::mallopt(libc::M_MMAP_THRESHOLD, MAPPED_BYTES);
        libc::mallopt(libc::M_TRIM_THRESHOLD, TOP_BYTES);
    }
}

/// Gives the free pages between small blocks back to the system.
pub fn trim() {
    #[cfg(target_env = "gnu")]
    // SAFETY: `malloc_trim` is thread-safe and changes only memory that is free.
    unsafe {
        libc::malloc_trim(0);
    }
}

//! Hash functions with the same results in all processes of one release.

use std::hash::Hasher;

use rustc_hash::FxHasher;

/// Returns a 64-bit hash of `text`; every bit is well distributed.
pub fn hash_text(text: &str) -> u64 {
    hash_bytes(text.as_bytes())
}

/// Returns a 64-bit hash of `data`; every bit is well distributed.
pub fn hash_bytes(data: &[u8]) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(data);
    mix(hasher.finish())
}

/// Combines two hashes into one; the order of the arguments matters.
pub const fn combine(a: u64, b: u64) -> u64 {
    mix(a ^ b.rotate_left(29))
}

/// Spreads every input bit over all output bits (the finalizer of SplitMix64).
const fn mix(value: u64) -> u64 {
    let mut x = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

//! Hash maps and sets with a fast hasher.

/// A hash map with a fast, non-cryptographic hasher.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with a fast, non-cryptographic hasher.
pub type Set<T> = rustc_hash::FxHashSet<T>;

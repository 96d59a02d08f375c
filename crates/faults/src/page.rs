//! Rendering of `docs/FAULTS.md`.

//! Series of measurements and their slopes.

use std::alloc::GlobalAlloc;
use std::alloc::Layout;
use std::alloc::System;
use std::fmt;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Instant;

use serde::Serialize;

/// One measure at several sizes.
#[derive(Clone, Debug)]
pub(crate) struct Series {
    /// The measure with its unit, and what its size counts.
    pub(crate) name: &'static str,
    /// Pairs of size and value.
    pub(crate) points: Vec<(f64, f64)>,
}

/// A least-squares line.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(crate) struct Line {
    /// The value at size 0.
    pub(crate) base: f64,
    /// The growth per unit of size.
    pub(crate) slope: f64,
}

impl Series {
    /// Returns an empty series.
    pub(crate) fn new(name: &'static str) -> Series {
        Series {
            name,
            points: Vec::new(),
        }
    }

    /// Adds a point.
    pub(crate) fn add(&mut self, size: usize, value: f64) {
        self.points.push((size as f64, value));
    }

    /// Returns the least-squares line through the points.
    pub(crate) fn line(&self) -> Line {
        let count = self.points.len() as f64;
        let mean =
            |value: fn(&(f64, f64)) -> f64| self.points.iter().map(value).sum::<f64>() / count;
        let (x, y) = (mean(|point| point.0), mean(|point| point.1));
        let spread: f64 = self.points.iter().map(|point| (point.0 - x).powi(2)).sum();
        let joint: f64 = self
            .points
            .iter()
            .map(|point| (point.0 - x) * (point.1 - y))
            .sum();
        let slope = if spread > 0.0 { joint / spread } else { 0.0 };
        Line {
            base: y - slope * x,
            slope,
        }
    }
}

impl fmt::Display for Series {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Line { base, slope } = self.line();
        writeln!(f, "{}: {base:.3} + {slope:.6} per unit", self.name)?;
        for (size, value) in &self.points {
            writeln!(f, "  {size:>8} {value:.3}")?;
        }
        Ok(())
    }
}

/// Returns the median time of one call in microseconds over `rounds` timed rounds of `calls` calls.
pub(crate) fn time_us(rounds: usize, calls: usize, mut call: impl FnMut()) -> f64 {
    let mut times: Vec<f64> = (0..rounds)
        .map(|_| {
            let start = Instant::now();
            (0..calls).for_each(|_| call());
            start.elapsed().as_secs_f64() * 1e6 / calls as f64
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[rounds / 2]
}

/// An allocator that counts the bytes in use; resident memory is too coarse, since freed pages are
/// used again.
struct Counting;

static IN_USE: AtomicUsize = AtomicUsize::new(0);

#[global_allocator]
static ALLOCATOR: Counting = Counting;

// SAFETY: Every call is passed on to the system allocator unchanged; counting has no other effect.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        IN_USE.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: The caller keeps the contract of `alloc`, which is the same.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        IN_USE.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: The caller keeps the contract of `dealloc`, which is the same.
        unsafe { System.dealloc(ptr, layout) }
    }
}

/// Returns the heap bytes in use.
pub(crate) fn heap_bytes() -> f64 {
    IN_USE.load(Ordering::Relaxed) as f64
}

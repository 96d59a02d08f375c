//! Measurement series, least-squares lines, and timing and heap measurements.

use std::alloc::GlobalAlloc;
use std::alloc::Layout;
use std::alloc::System;
use std::fmt;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Instant;

use serde::Serialize;

/// Values of one measure at several sizes.
#[derive(Clone, Debug)]
pub(crate) struct Series {
    /// Name of the measure with its unit and what the size counts.
    pub(crate) name: &'static str,
    /// Pairs of size and value.
    pub(crate) points: Vec<(f64, f64)>,
}

/// A least-squares line.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(crate) struct Line {
    /// Value at size 0.
    pub(crate) base: f64,
    /// Growth per unit of size.
    pub(crate) slope: f64,
}

impl Series {
    pub(crate) fn new(name: &'static str) -> Series {
        Series {
            name,
            points: Vec::new(),
        }
    }

    pub(crate) fn add(&mut self, size: usize, value: f64) {
        self.points.push((size as f64, value));
    }

    /// Returns the least-squares line through the points.
    pub(crate) fn line(&self) -> Line {
        let count = self.points.len() as f64;
        let mean =
            |value: fn(&(f64, f64)) -> f64| self.points.iter().map(value).sum::<f64>() / count;
        let (x, y) = (mean(|point| point.0), mean(|point| point.1));
        let variance_sum: f64 = self.points.iter().map(|point| (point.0 - x).powi(2)).sum();
        let covariance_sum: f64 = self
            .points
            .iter()
            .map(|point| (point.0 - x) * (point.1 - y))
            .sum();
        let slope = if variance_sum > 0.0 {
            covariance_sum / variance_sum
        } else {
            0.0
        };
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

/// Returns the time of one call in microseconds: the median over `rounds` rounds of `calls` calls
/// each.
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

/// An allocator that counts the allocated bytes. The resident set size is too coarse, because freed
/// pages are reused.
struct CountingAllocator;

static ALLOCATED_BYTES: AtomicUsize = AtomicUsize::new(0);

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

// SAFETY: Every call is forwarded to the system allocator unchanged; the counter has no effect on
// it.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED_BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: The caller upholds the contract of `alloc`, which is the same.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        ALLOCATED_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: The caller upholds the contract of `dealloc`, which is the same.
        unsafe { System.dealloc(ptr, layout) }
    }
}

/// Returns the number of allocated heap bytes.
pub(crate) fn heap_bytes() -> f64 {
    ALLOCATED_BYTES.load(Ordering::Relaxed) as f64
}

//! Random test cases from fixed seeds, so that every run checks the same cases.

use bolero::TypeGenerator;
use bolero::generator::bolero_generator::driver::ByteSliceDriver;
use bolero::generator::bolero_generator::driver::Options;

/// Number of cases per test.
const CASES: u64 = 2_000;
/// Number of random bytes from which a case is generated.
const BYTES_PER_CASE: usize = 1_024;

/// Runs `check` on random values.
pub(crate) fn for_each_case<T: TypeGenerator>(check: impl Fn(T)) {
    for seed in 0..CASES {
        let mut rng = fastrand::Rng::with_seed(seed);
        let bytes: Vec<u8> = (0..BYTES_PER_CASE).map(|_| rng.u8(..)).collect();
        let mut driver = ByteSliceDriver::new(&bytes, &Options::default());
        if let Some(value) = T::generate(&mut driver) {
            check(value);
        }
    }
}

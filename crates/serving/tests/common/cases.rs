//! Random cases from a fixed seed, so that CI gives the same verdict every time.

use bolero::TypeGenerator;
use bolero::generator::bolero_generator::driver::ByteSliceDriver;
use bolero::generator::bolero_generator::driver::Options;

/// Cases of one test.
const CASES: u64 = 2_000;
/// Random bytes from which a case is made.
const BYTES: usize = 1_024;

/// Runs `check` on random values.
pub(crate) fn each<T: TypeGenerator>(check: impl Fn(T)) {
    for seed in 0..CASES {
        let mut rng = fastrand::Rng::with_seed(seed);
        let bytes: Vec<u8> = (0..BYTES).map(|_| rng.u8(..)).collect();
        let mut driver = ByteSliceDriver::new(&bytes, &Options::default());
        if let Some(value) = T::generate(&mut driver) {
            check(value);
        }
    }
}

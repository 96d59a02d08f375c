//! Random schedules: three to six faults at any steps, with other seeds of the simulation.
//!
//! Bolero's own engine takes its seeds from the system, so these tests feed its generators with
//! bytes from `fastrand`, with fixed seeds, to be reproducible.

use bolero::ValueGenerator;
use bolero::generator::bolero_generator::driver::ByteSliceDriver;
use bolero::generator::bolero_generator::driver::Options;
use bolero::produce;
use faults::case::Case;
use faults::case::Injection;
use faults::case::run_all;
use faults::matrix::Step;
use faults::matrix::applicable_faults;

const SCHEDULES: u64 = 300;
const FIRST_SEED: u64 = 1_000;

fn injection(step: u16, fault: u16, skip: u8) -> Injection {
    let step = Step::ALL[usize::from(step) % Step::ALL.len()];
    let faults = applicable_faults(step);
    let fault = faults[usize::from(fault) % faults.len()];
    Injection {
        step,
        fault,
        skip: u32::from(skip % 3),
    }
}

fn schedule(seed: u64) -> Case {
    let mut rng = fastrand::Rng::with_seed(seed);
    let bytes: Vec<u8> = (0..256).map(|_| rng.u8(..)).collect();
    let options = Options::default();
    let mut driver = ByteSliceDriver::new(&bytes, &options);
    let draws = produce::<[(u16, u16, u8); 6]>()
        .generate(&mut driver)
        .expect("enough bytes");
    let count = 3 + (seed % 4) as usize;
    let faults = draws[..count]
        .iter()
        .map(|(step, fault, skip)| injection(*step, *fault, *skip));
    Case {
        faults: faults.collect(),
        seed,
    }
}

/// Guards against several faults at different steps that together violate an invariant.
#[test]
fn schedules_keep_invariants() {
    let cases: Vec<Case> = (0..SCHEDULES)
        .map(|number| schedule(FIRST_SEED + number))
        .collect();
    let failed = run_all(&cases);
    assert!(
        failed.is_empty(),
        "{} failed:\n{}",
        failed.len(),
        failed.concat()
    );
}

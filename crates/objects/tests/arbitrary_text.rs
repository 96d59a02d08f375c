//! The parser and the decoders do not panic on generated input.
//!
//! bolero's default engine takes its seeds from the system. For reproducible runs these tests drive
//! bolero's generators with bytes from a seeded generator.

use bolero::TypeGenerator;
use bolero::generator::bolero_generator::driver::ByteSliceDriver;
use bolero::generator::bolero_generator::driver::Options;
use fastrand::Rng;
use miniz_oxide::deflate::compress_to_vec;
use objects::Digest;
use objects::Manifest;
use objects::ObjectSet;

const VALID: &str = include_str!("valid.toml");
const SEED: u64 = 0x0d07_7e4e;
const CASES: usize = 2_000;
const BYTES: usize = 512;

fn for_each<T: TypeGenerator>(mut test: impl FnMut(T)) {
    let mut rng = Rng::with_seed(SEED);
    let options = Options::default().with_max_len(BYTES);
    for _ in 0..CASES {
        let bytes: Vec<u8> = (0..BYTES).map(|_| rng.u8(..)).collect();
        let mut driver = ByteSliceDriver::new(&bytes[..], &options);
        if let Some(value) = T::generate(&mut driver) {
            test(value);
        }
    }
}

#[test]
fn arbitrary_text_never_panics() {
    // Guards against a panic on a file that is not TOML.
    let mut lengths = 0;
    for_each(|text: String| {
        lengths += text.len();
        objects::load([("x.toml", &*text)]);
    });
    assert!(lengths > CASES, "only {lengths} bytes were generated");
}

#[test]
fn mutated_set_never_panics() {
    // Guards against a panic after the TOML parser, which rejects most arbitrary text.
    let mut rng = Rng::with_seed(SEED);
    let mut findings = 0;
    for _ in 0..CASES {
        let text = mutate(&mut rng);
        findings += objects::load([("x.toml", &*text)]).findings.len();
    }
    assert!(findings > CASES, "only {findings} findings");
}

#[test]
fn arbitrary_snapshot_bytes_never_panic() {
    // Guards against a panic on invalid bytes from a peer or the object store.
    for_each(|bytes: Vec<u8>| {
        let _ = Manifest::decode(&bytes);
        // Compressed bytes pass the decompression and reach the decoder of objects.
        for bucket in [compress_to_vec(&bytes, 1), bytes] {
            let mut manifest = Manifest::empty();
            manifest.buckets[7] = Digest::of(&bucket);
            let _ = ObjectSet::from_buckets(&manifest, &[(7, bucket)]);
        }
    });
}

/// Replaces, removes or inserts up to four bytes of the valid set.
fn mutate(rng: &mut Rng) -> String {
    const SYNTAX_BYTES: &[u8] = b"\"[]{}=\n.@-0z";
    let mut bytes = VALID.as_bytes().to_vec();
    for _ in 0..=rng.usize(..4) {
        let index = rng.usize(..bytes.len());
        let byte = SYNTAX_BYTES[rng.usize(..SYNTAX_BYTES.len())];
        match rng.u8(..3) {
            0 => bytes[index] = byte,
            1 => drop(bytes.remove(index)),
            _ => bytes.insert(index, byte),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

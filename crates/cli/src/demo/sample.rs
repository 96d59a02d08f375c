//! Object set of the demo, as TOML that an operator would write.

use std::fmt::Write as _;

use objects::ObjectSet;

/// API key of the sample workspace. The set contains its digest.
pub const API_KEY: &str = "demo-key";

/// Number of sample adapters, named `care-0` and on.
pub const ADAPTERS: usize = 12;

/// Number of sample engines, with the endpoints `runner-0` and on.
pub const ENGINES: usize = 3;

/// Number of endpoints of the booking service, named `booker-0` and on.
pub const BOOKERS: usize = 2;

/// Differences between the sets that the demo publishes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Edits {
    /// Number of the adapter whose route targets its second version; `None` leaves all at their
    /// first.
    pub upgraded: Option<usize>,
    /// Number of the engine whose endpoint is draining; `None` drains none.
    pub drained: Option<usize>,
}

/// Returns the served name of a version of adapter `number`.
pub fn served_name(number: usize, version: u32) -> String {
    format!("care-{number}@v{version}")
}

/// Returns the sample set as TOML.
pub fn toml(edits: Edits) -> String {
    let mut text = SHARED_OBJECTS.to_owned();
    for number in 0..ADAPTERS {
        let version = if edits.upgraded == Some(number) { 2 } else { 1 };
        add_adapter(&mut text, number, version);
    }
    for number in 0..ENGINES {
        let draining = edits.drained == Some(number);
        let _ = write!(
            text,
            "[[endpoint]]\nname = \"runner-{number}\"\nmodel = \"base\"\nregion = \"south\"\n\
             domain = \"south-{number}\"\nslots = 4\nbatch = 16\nqueue = 200\n\
             fencing = \"checked\"\ndraining = {draining}\n\n"
        );
    }
    for number in 0..BOOKERS {
        let _ = write!(
            text,
            "[[endpoint]]\nname = \"booker-{number}\"\nservice = \"booker\"\nregion = \"south\"\n\
             domain = \"south-{number}\"\nbatch = 16\nqueue = 200\n\n"
        );
    }
    text
}

/// Returns the sample set, parsed and validated.
///
/// # Panics
///
/// Panics if the sample has validation errors.
pub fn set(edits: Edits) -> ObjectSet {
    let text = toml(edits);
    let loaded = objects::load([("sample.toml", text.as_str())]);
    assert!(
        !objects::has_errors(&loaded.findings),
        "{:#?}",
        loaded.findings
    );
    loaded.set
}

const SHARED_OBJECTS: &str = "[policy]\nstall_weight = 0.5\nloads_per_s = 20\nloads_at_once = 3\n\n\
     [[model]]\nname = \"base\"\nbase = \"base\"\n\n\
     [[workspace]]\nname = \"quilts\"\nrate = 100000\ninflight = 10000\n\
     secret = \"sha256:c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c\"\n\n\
     [[service]]\nname = \"booker\"\ndeadline_ms = 10000\n\n\
     [[route]]\nname = \"bookings\"\nworkspace = \"quilts\"\nservice = \"booker\"\n\
     priority = \"booking\"\ndeadline_ms = 10000\n\n";

fn add_adapter(text: &mut String, number: usize, version: u32) {
    let _ = write!(
        text,
        "[[adapter]]\nname = \"care-{number}\"\nmodel = \"base\"\nworkspace = \"quilts\"\n\n"
    );
    for version in 1..=2 {
        let weights = format!("weights/care-{number}/{version}");
        let digest = standins::weights::digest_of(&weights);
        let _ = write!(
            text,
            "[[version]]\nadapter = \"care-{number}\"\nversion = \"v{version}\"\n\
             weights = \"{weights}\"\ndigest = \"{digest}\"\n\n"
        );
    }
    let served = served_name(number, version);
    let _ = write!(
        text,
        "[[route]]\nname = \"advice-{number}\"\nworkspace = \"quilts\"\n\
         targets = [{{ version = \"{served}\", weight = 1 }}]\ndeadline_ms = 20000\n\n"
    );
}

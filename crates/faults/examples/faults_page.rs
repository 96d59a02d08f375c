//! Writes `docs/FAULTS.md` from the fault matrix.

fn main() -> std::io::Result<()> {
    std::fs::write("docs/FAULTS.md", faults::page::page())
}

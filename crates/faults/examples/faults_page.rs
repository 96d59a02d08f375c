//! Generates `docs/FAULTS.md` from the fault matrix. Run it in the root of the workspace.

fn main() -> std::io::Result<()> {
    std::fs::write("docs/FAULTS.md", faults::page::page())
}

//! The cases.

mod foreign_row;
mod late_order;
mod many_heads;
mod model_names;

use std::net::Ipv4Addr;
use std::sync::Arc;

use crate::platform::Store;
use crate::programs;
use crate::programs::Entry;
use crate::programs::Folder;
use crate::programs::Program;
use crate::record::Record;
use crate::record::Verdict;
use crate::runner::ADAPTERS;
use crate::runner::MODEL;
use crate::runner::Runner;

/// Plays a case.
pub fn play(case: &str, trouble: bool, record: &Arc<Record>) -> Result<Verdict, String> {
    match case {
        "foreign-row" => foreign_row::play(trouble, record),
        "late-order" => late_order::play(trouble, record.clone()),
        "many-heads" => many_heads::play(trouble, record),
        "model-names" => model_names::play(trouble, record),
        _ => Err(format!("there is no case {case}")),
    }
}

/// A small deployment: entries, model runners with their agents, plain runners and the store.
pub struct Site {
    pub entries: Vec<Entry>,
    pub agents: Vec<Program>,
    pub engines: Vec<Runner>,
    pub plain: Vec<Runner>,
    pub store: Store,
    pub folder: Folder,
}

impl Site {
    /// Starts entries alone, whose agents are to listen on this port.
    pub fn start_with(entries: u8, agent_port: u16) -> Result<Site, String> {
        Site::start_all(entries, 0, 0, agent_port)
    }

    pub fn start(entries: u8, engines: u8, plain: u8) -> Result<Site, String> {
        let agent_port = programs::free_port(Ipv4Addr::new(127, 0, 1, 1)).map_err(|error| error.to_string())?;
        Site::start_all(entries, engines, plain, agent_port)
    }

    fn start_all(entries: u8, engines: u8, plain: u8, agent_port: u16) -> Result<Site, String> {
        let text = |error: std::io::Error| error.to_string();
        let folder = Folder::create().map_err(text)?;
        let store = Store::start().map_err(text)?;
        store.put("op", "config", &manifest());
        let mut site = Site {
            entries: Vec::new(),
            agents: Vec::new(),
            engines: Vec::new(),
            plain: Vec::new(),
            store,
            folder,
        };
        for number in 1..=engines {
            let ip = Ipv4Addr::new(127, 0, 1, number);
            let runner = Runner::start(&format!("e-{number}"), "llm", true, ip, &site.store).map_err(text)?;
            let name = format!("side-{number}");
            let agent = programs::start_agent(&name, ip, agent_port, runner.addr, &site.folder).map_err(text)?;
            site.engines.push(runner);
            site.agents.push(agent);
        }
        for number in 1..=plain {
            let ip = Ipv4Addr::new(127, 0, 2, number);
            let runner = Runner::start(&format!("p-{number}"), "desk", false, ip, &site.store).map_err(text)?;
            site.plain.push(runner);
        }
        for number in 1..=entries {
            let ip = Ipv4Addr::new(127, 0, 3, number);
            let name = format!("front-{number}");
            let entry = Entry::start(&name, ip, site.store.addr, agent_port, &site.folder).map_err(text)?;
            site.entries.push(entry);
        }
        for entry in &site.entries {
            entry.wait_ready(std::time::Duration::from_secs(10))?;
        }
        // Traffic starts some seconds after the machines.
        std::thread::sleep(std::time::Duration::from_secs(3));
        Ok(site)
    }
}

/// The manifest: the routes, services and limits of `sites/pinecrest-airing.toml`, as `fleetbench wire` shows them.
fn manifest() -> String {
    let route = |name: &str, kind: &str, service: &str, timeout: u32, goal: u32, resumable: bool| {
        format!(
            r#"{{"name":"{name}","host":"a.example","prefix":"/{name}/","kind":"{kind}","timeout_ms":{timeout},"goal_ms":{goal},"priority":1,"service":"{service}","max_attempts":2,"sticky":{},"resumable":{resumable},"gap_goal_ms":400}}"#,
            kind == "stream"
        )
    };
    let routes = [
        route("chat", "stream", "llm", 4_000, 500, true),
        route("book", "non_idempotent", "desk", 1_000, 150, false),
        route("look", "idempotent", "desk", 1_000, 150, false),
    ];
    format!(
        r#"{{"version":1,"routes":[{}],"services":[{{"name":"llm","health_path":"/healthz","max_conns":370,"engine":{{"slots":64,"models":[{{"name":"{MODEL}","weights_mb":65100.0,"load_s":0.6,"adapters":{ADAPTERS},"adapter_mb":12.0}}],"weights_mb":67000.0,"adapter_slots":17,"loads_per_s":6.1}}}},{{"name":"desk","health_path":"/healthz","max_conns":110}}],"limits":{{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        routes.join(",")
    )
}

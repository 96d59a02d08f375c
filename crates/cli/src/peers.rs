//! `dotterelwheel status` and `dotterelwheel dump`: query running processes.

use std::net::SocketAddr;
use std::time::Duration;

use decision::ids::Head;
use decision::ids::Incarnation;
use futures::future::join_all;
use gumdrop::Options;
use serde_json::json;
use wire::Identity;
use wire::LinkResult;
use wire::Links;

use crate::operator::OperatorSettings;
use crate::report::Exit;
use crate::report::Report;

/// Timeout of one call to one process.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Command-line arguments of `status`.
#[derive(Debug, Options)]
pub struct StatusArgs {
    /// Path of the TOML settings file.
    #[options(
        no_short,
        help = "the settings file",
        meta = "FILE",
        default = "operator.toml"
    )]
    pub config: String,
    /// Print one JSON document instead of text.
    #[options(no_short, help = "print one JSON document")]
    pub json: bool,
    /// Print the usage and exit.
    #[options(help = "print this help")]
    pub help: bool,
}

/// Command-line arguments of `dump`.
#[derive(Debug, Options)]
pub struct DumpArgs {
    /// Path of the TOML settings file.
    #[options(
        no_short,
        help = "the settings file",
        meta = "FILE",
        default = "operator.toml"
    )]
    pub config: String,
    /// Peer address of the process.
    #[options(
        no_short,
        required,
        help = "the peer address of the process",
        meta = "ADDRESS"
    )]
    pub at: Option<SocketAddr>,
    /// Print the usage and exit.
    #[options(help = "print this help")]
    pub help: bool,
}

/// Prints the generation that each process in the settings has in force.
///
/// The exit code is 3 if a process does not answer, else 1 if the generations differ.
pub async fn status(args: &StatusArgs) -> Report {
    let (links, peers) = match open_links(&args.config) {
        Ok(opened) => opened,
        Err(report) => return report,
    };
    let calls = peers.iter().map(|addr| read_head(&links, *addr));
    let heads = join_all(calls).await;
    links.stop().await;
    let rows: Vec<_> = peers.iter().zip(&heads).collect();
    let lines = rows.iter().map(|(addr, head)| match head {
        Ok(head) => format!(
            "{addr:<22} generation {:>6}  {}",
            head.generation, head.digest
        ),
        Err(err) => format!("{addr:<22} no answer: {err}"),
    });
    let document: Vec<_> = rows
        .iter()
        .map(|(addr, head)| status_row(**addr, head))
        .collect();
    let mut in_force: Vec<&Head> = heads.iter().flatten().collect();
    in_force.dedup();
    let exit = match () {
        () if heads.iter().any(Result::is_err) => Exit::Unreachable,
        () if in_force.len() > 1 => Exit::Refused,
        () => Exit::Done,
    };
    let report = Report {
        exit,
        lines: lines.collect(),
        errors: Vec::new(),
    };
    report.with_json(args.json, json!({ "processes": document }))
}

/// Prints the state of one process as JSON.
pub async fn dump(args: &DumpArgs) -> Report {
    let (links, _) = match open_links(&args.config) {
        Ok(opened) => opened,
        Err(report) => return report,
    };
    let Some(addr) = args.at else {
        return Report::error(Exit::Usage, "`--at ADDRESS` is required");
    };
    let state = links.peer(addr).dump(CALL_TIMEOUT).await;
    links.stop().await;
    match state {
        Ok(state) => Report::text(state),
        Err(err) => Report::error(Exit::Unreachable, err),
    }
}

fn open_links(config: &str) -> Result<(Links, Vec<SocketAddr>), Report> {
    let settings = OperatorSettings::load(config)?;
    if settings.secret.is_empty() {
        let message = format!("settings {config}: `secret` is needed to call processes");
        return Err(Report::error(Exit::Usage, message));
    }
    let identity = Identity {
        name: "operator".into(),
        incarnation: Incarnation(fastrand::u64(1..)),
    };
    let links = Links::start(1, identity, &settings.secret);
    let links = links
        .map_err(|err| Report::error(Exit::Usage, format!("failed to start a thread: {err}")))?;
    Ok((links, settings.peers))
}

async fn read_head(links: &Links, addr: SocketAddr) -> LinkResult<Head> {
    links
        .peer(addr)
        .exchange_heads(&Head::default(), CALL_TIMEOUT)
        .await
}

fn status_row(addr: SocketAddr, head: &LinkResult<Head>) -> serde_json::Value {
    match head {
        Ok(head) => json!({ "peer": addr, "generation": head.generation, "digest": head.digest }),
        Err(err) => json!({ "peer": addr, "error": err.to_string() }),
    }
}

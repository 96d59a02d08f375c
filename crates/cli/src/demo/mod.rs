//! `dotterelwheel demo`: runs a complete site in one process over loopback sockets. With
//! `--requests`, sends mixed requests to it and checks the responses against the stand-ins' records.

mod caller;
pub mod sample;
pub mod site;
mod verdict;
mod workload;

use gumdrop::Options;
use process::logs;
use process::logs::LogForm;
use process::logs::LogLevel;

use crate::demo::site::Site;
use crate::demo::site::Speed;
use crate::demo::workload::Workload;
use crate::report::Exit;
use crate::report::Report;

/// Command-line arguments of `demo`.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "drive this many mixed requests and exit", meta = "N")]
    requests: Option<usize>,
    #[options(no_short, help = "seed of the requests", meta = "S", default = "1")]
    seed: u64,
    #[options(no_short, help = "print only the JSON object")]
    json: bool,
}

/// Runs the demo until a signal, or with `--requests` until all requests have ended. Then the last
/// line is one JSON object.
pub async fn run(args: &Args) -> Report {
    // Scripts read standard output, so the site's log must go to standard error.
    if args.requests.is_some()
        && let Err(err) = logs::init(LogForm::Text, LogLevel::Info)
    {
        return Report::error(
            Exit::Unreachable,
            format!("failed to set up logging: {err}"),
        );
    }
    let site = match Site::start(Speed::Realistic).await {
        Ok(site) => site,
        Err(err) => return Report::error(Exit::Unreachable, err),
    };
    match args.requests {
        Some(requests) => {
            run_workload(
                site,
                Workload {
                    requests,
                    seed: args.seed,
                },
                args.json,
            )
            .await
        }
        None => run_until_signal(site).await,
    }
}

async fn run_workload(mut site: Site, workload: Workload, json: bool) -> Report {
    let verdict = workload.run(&mut site).await;
    let audit = site.stop_and_verify().await;
    let (mut verdict, audit) = match (verdict, audit) {
        (Ok(verdict), Ok(audit)) => (verdict, audit),
        (Err(err), _) | (_, Err(err)) => return Report::error(Exit::Unreachable, err),
    };
    verdict.add_audit(&audit);
    let mut lines = Vec::new();
    if !json {
        lines.push(format!("{verdict:#?}"));
    }
    lines.push(serde_json::to_string(&verdict).expect("a verdict serializes to JSON"));
    let exit = if verdict.is_clean() {
        Exit::Done
    } else {
        Exit::Refused
    };
    Report {
        exit,
        lines,
        errors: verdict.violations,
    }
}

async fn run_until_signal(site: Site) -> Report {
    for (name, addr) in site.addresses() {
        println!("{name:<26} http://{addr}");
    }
    println!("secret of the dump addresses: {}", site.secret());
    println!("\nTry:\n  {}\n\nCtrl-C stops the demo.", curl_line(&site));
    let signal = process::shutdown::stop_signal().await;
    site.stop().await;
    match signal {
        Ok(signal) => Report::text(format!("stopped by {signal}")),
        Err(err) => Report::error(
            Exit::Unreachable,
            format!("failed to wait for a signal: {err}"),
        ),
    }
}

fn curl_line(site: &Site) -> String {
    format!(
        "curl -N http://{}/v1/chat/completions -H 'authorization: Bearer {}' \
         -H 'content-type: application/json' \
         -d '{{\"model\":\"advice-1\",\"stream\":true,\"max_tokens\":8,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"How long may the quilt hang?\"}}]}}'",
        site.entry(),
        sample::API_KEY
    )
}

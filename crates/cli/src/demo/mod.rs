//! `dotterelwheel demo`: a whole site in one process over loopback sockets, and a run of mixed
//! requests that is judged by what the stand-ins saw.

mod caller;
mod drive;
pub mod sample;
pub mod site;
mod verdict;

use gumdrop::Options;
use process::logs;
use process::logs::LogForm;
use process::logs::LogLevel;

use crate::demo::drive::Drive;
use crate::demo::site::Site;
use crate::demo::site::Speed;
use crate::report::Exit;
use crate::report::Report;

/// The options of `demo`.
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

/// Runs the demo; with `--requests` the last line is one JSON object.
pub async fn run(args: &Args) -> Report {
    // The output is for scripts; what the site logs goes to standard error.
    if args.requests.is_some()
        && let Err(err) = logs::init(LogForm::Text, LogLevel::Info)
    {
        return Report::error(Exit::Unreachable, format!("set up logs: {err}"));
    }
    let site = match Site::start(Speed::Realistic).await {
        Ok(site) => site,
        Err(err) => return Report::error(Exit::Unreachable, err),
    };
    match args.requests {
        Some(requests) => {
            drive(
                site,
                Drive {
                    requests,
                    seed: args.seed,
                },
                args.json,
            )
            .await
        }
        None => serve(site).await,
    }
}

async fn drive(mut site: Site, drive: Drive, json: bool) -> Report {
    let verdict = drive.run(&mut site).await;
    let audited = site.stop_audited().await;
    let (mut verdict, audited) = match (verdict, audited) {
        (Ok(verdict), Ok(audited)) => (verdict, audited),
        (Err(err), _) | (_, Err(err)) => return Report::error(Exit::Unreachable, err),
    };
    verdict.add_audit(&audited);
    let mut lines = Vec::new();
    if !json {
        lines.push(format!("{verdict:#?}"));
    }
    lines.push(serde_json::to_string(&verdict).expect("plain data"));
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

async fn serve(site: Site) -> Report {
    for (name, addr) in site.addresses() {
        println!("{name:<26} http://{addr}");
    }
    println!("secret of the dump addresses: {}", site.secret());
    println!("\nTry:\n  {}\n\nCtrl-C stops the demo.", curl_line(&site));
    let signal = process::shutdown::stop_signal().await;
    site.stop().await;
    match signal {
        Ok(signal) => Report::text(format!("stopped by {signal}")),
        Err(err) => Report::error(Exit::Unreachable, format!("wait for a signal: {err}")),
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

//! Measures what entry and agent add to a call of the engine.
//!
//! `cargo run --release --example overhead -- --json` sends the same requests to one stand-in
//! engine directly and through entry and agent, in one process, and prints one JSON object on its
//! last line. Tokens per core are tokens per second of processor time of the whole process, that is
//! of caller, entry, agent and engine together.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cli::demo::sample;
use cli::demo::site::Site;
use cli::demo::site::Speed;
use futures::future::join_all;
use gumdrop::Options;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::json;

/// The command line.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print only the JSON object")]
    json: bool,
    #[options(no_short, help = "calls in sequence", meta = "N", default = "3000")]
    calls: usize,
    #[options(no_short, help = "streams at once", meta = "N", default = "32")]
    streams: usize,
    #[options(no_short, help = "seconds of streaming", meta = "S", default = "5")]
    seconds: u64,
}

/// The sample adapter that is called, and its route.
const ADAPTER: usize = 0;
const ROUTE: &str = "advice-0";

/// The tokens of one streamed answer.
const STREAM_TOKENS: u32 = 512;

/// What stands once in the event of each token.
const DELTA: &[u8] = b"\"content\":";

/// The calls before the measured ones.
const WARM_UP: usize = 300;

#[tokio::main]
async fn main() {
    let args = Args::parse_args_default_or_exit();
    let site = Site::start(Speed::Instant).await.expect("the site starts");
    let through = Target::new(site.entry(), ROUTE);
    calls(&through, WARM_UP).await;
    let served = sample::served_name(ADAPTER, 1);
    let engine = site
        .engine_with_version(&served)
        .expect("the warm-up loaded the version");
    let direct = Target::new(engine, &served);
    let mut direct_us = Vec::new();
    let mut through_us = Vec::new();
    calls(&direct, WARM_UP).await;
    // Alternating blocks keep a change in the machine's load from counting for one side only.
    for _ in 0..10 {
        direct_us.extend(calls(&direct, args.calls / 10).await);
        through_us.extend(calls(&through, args.calls / 10).await);
    }
    let single = requests_per_s(&through, args.streams, args.seconds).await;
    let streamed = tokens_per_s(&through, args.streams, args.seconds).await;
    let direct_streamed = tokens_per_s(&direct, args.streams, args.seconds).await;
    let (direct_p50, direct_p99) = (
        percentile(&mut direct_us, 0.50),
        percentile(&mut direct_us, 0.99),
    );
    let result = json!({
        "direct_p50_us": direct_p50,
        "direct_p99_us": direct_p99,
        "added_p50_us": percentile(&mut through_us, 0.50) - direct_p50,
        "added_p99_us": percentile(&mut through_us, 0.99) - direct_p99,
        "requests_per_s": single,
        "tokens_per_s": streamed.tokens,
        "tokens_per_core_s": streamed.per_core,
        "direct_tokens_per_core_s": direct_streamed.per_core,
        "rss_mb": resident_mb(),
    });
    site.stop().await;
    if !args.json {
        println!("{result:#}");
    }
    println!("{result}");
}

/// Where requests go.
#[derive(Clone)]
struct Target {
    addr: SocketAddr,
    model: Arc<str>,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Target {
    fn new(addr: SocketAddr, model: &str) -> Target {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Target {
            addr,
            model: model.into(),
            client,
        }
    }

    /// Sends one chat and returns the tokens of its answer.
    async fn chat(&self, tokens: u32, stream: bool) -> u64 {
        let body = json!({
            "model": &*self.model,
            "messages": [{ "role": "user", "content": "How long may the quilt hang?" }],
            "stream": stream,
            "max_tokens": tokens,
        });
        let request = Request::post(format!("http://{}/v1/chat/completions", self.addr))
            .header("content-type", "application/json")
            .header("authorization", format!("Bearer {}", sample::API_KEY))
            .body(Full::new(Bytes::from(body.to_string())))
            .expect("the parts are valid");
        let response = self
            .client
            .request(request)
            .await
            .expect("the target listens");
        assert_eq!(response.status(), 200);
        let body = response
            .into_body()
            .collect()
            .await
            .expect("the answer is whole")
            .to_bytes();
        if !stream {
            return u64::from(tokens);
        }
        assert!(body.ends_with(b"data: [DONE]\n\n"), "the stream has an end");
        // An event may be split over pieces, so events are counted in the whole answer.
        body.windows(DELTA.len())
            .filter(|window| *window == DELTA)
            .count() as u64
    }
}

async fn calls(target: &Target, count: usize) -> Vec<f64> {
    let mut times = Vec::with_capacity(count);
    for _ in 0..count {
        let start = Instant::now();
        target.chat(1, false).await;
        times.push(start.elapsed().as_secs_f64() * 1e6);
    }
    times
}

async fn requests_per_s(target: &Target, streams: usize, seconds: u64) -> f64 {
    let end = Instant::now() + Duration::from_secs(seconds);
    let start = Instant::now();
    let workers = (0..streams).map(|_| {
        let target = target.clone();
        tokio::spawn(async move {
            let mut count = 0_u64;
            while Instant::now() < end {
                target.chat(1, false).await;
                count += 1;
            }
            count
        })
    });
    let total: u64 = join_all(workers)
        .await
        .into_iter()
        .map(|count| count.unwrap_or(0))
        .sum();
    total as f64 / start.elapsed().as_secs_f64()
}

struct Streamed {
    tokens: f64,
    per_core: f64,
}

async fn tokens_per_s(target: &Target, streams: usize, seconds: u64) -> Streamed {
    let end = Instant::now() + Duration::from_secs(seconds);
    let (start, processor) = (Instant::now(), processor_s());
    let workers = (0..streams).map(|_| {
        let target = target.clone();
        tokio::spawn(async move {
            let mut tokens = 0;
            while Instant::now() < end {
                tokens += target.chat(STREAM_TOKENS, true).await;
            }
            tokens
        })
    });
    let total: u64 = join_all(workers)
        .await
        .into_iter()
        .map(|count| count.unwrap_or(0))
        .sum();
    Streamed {
        tokens: total as f64 / start.elapsed().as_secs_f64(),
        per_core: total as f64 / (processor_s() - processor),
    }
}

fn percentile(times: &mut [f64], share: f64) -> f64 {
    times.sort_by(f64::total_cmp);
    times[((times.len() - 1) as f64 * share) as usize]
}

/// Returns the processor time of this process in seconds.
fn processor_s() -> f64 {
    const TICKS_PER_S: f64 = 100.0;
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or_default().split(' ');
    // The 14th and 15th field of the line; two stand before the closing parenthesis.
    let ticks: f64 = fields
        .skip(12)
        .take(2)
        .filter_map(|text| text.parse::<f64>().ok())
        .sum();
    ticks / TICKS_PER_S
}

/// Returns the resident memory of this process in MB.
fn resident_mb() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|text| text.parse::<f64>().ok());
    pages.unwrap_or(0.0) * 4096.0 / 1e6
}

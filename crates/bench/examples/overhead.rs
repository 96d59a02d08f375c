//! Measures the overhead of entry and agent compared with a direct call of the engine.
//!
//! `cargo run --release --example overhead -- --json` sends the same requests to a fake engine,
//! both directly and through entry and agent, and prints one JSON object as its last line. All
//! parts run in one process; tokens per core are tokens per second of its CPU time, which includes
//! that of the caller and the engine.

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

/// Command-line options.
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

/// Index of the sample adapter that is called.
const ADAPTER: usize = 0;
/// Route of the sample adapter.
const ROUTE: &str = "advice-0";

/// Number of tokens of one streamed response.
const TOKENS_PER_STREAM: u32 = 512;

/// Text that occurs exactly once in the event of each token.
const TOKEN_MARKER: &[u8] = b"\"content\":";

/// Number of calls before the measurement.
const WARM_UP_CALLS: usize = 300;

#[tokio::main]
async fn main() {
    let args = Args::parse_args_default_or_exit();
    let site = Site::start(Speed::Instant).await.expect("the site starts");
    let via_entry = Target::new(site.entry(), ROUTE);
    measure_calls(&via_entry, WARM_UP_CALLS).await;
    let served = sample::served_name(ADAPTER, 1);
    let engine = site
        .engine_with_version(&served)
        .expect("the warm-up loaded the version");
    let direct = Target::new(engine, &served);
    let mut direct_us = Vec::new();
    let mut via_entry_us = Vec::new();
    measure_calls(&direct, WARM_UP_CALLS).await;
    // Both sides alternate, so that a change in the load of the machine affects both.
    for _ in 0..10 {
        direct_us.extend(measure_calls(&direct, args.calls / 10).await);
        via_entry_us.extend(measure_calls(&via_entry, args.calls / 10).await);
    }
    let request_rate = requests_per_s(&via_entry, args.streams, args.seconds).await;
    let streamed = tokens_per_s(&via_entry, args.streams, args.seconds).await;
    let direct_streamed = tokens_per_s(&direct, args.streams, args.seconds).await;
    let (direct_p50, direct_p99) = (
        percentile(&mut direct_us, 0.50),
        percentile(&mut direct_us, 0.99),
    );
    let result = json!({
        "direct_p50_us": direct_p50,
        "direct_p99_us": direct_p99,
        "added_p50_us": percentile(&mut via_entry_us, 0.50) - direct_p50,
        "added_p99_us": percentile(&mut via_entry_us, 0.99) - direct_p99,
        "requests_per_s": request_rate,
        "tokens_per_s": streamed.tokens_per_s,
        "tokens_per_core_s": streamed.tokens_per_core_s,
        "direct_tokens_per_core_s": direct_streamed.tokens_per_core_s,
        "rss_mb": resident_mb(),
    });
    site.stop().await;
    if !args.json {
        println!("{result:#}");
    }
    println!("{result}");
}

/// The engine or the entry, with the model name it serves.
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

    /// Sends a chat request and returns the number of tokens in the response.
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
            .expect("the request is valid");
        let response = self
            .client
            .request(request)
            .await
            .expect("the target accepts requests");
        assert_eq!(response.status(), 200);
        let body = response
            .into_body()
            .collect()
            .await
            .expect("the response body is complete")
            .to_bytes();
        if !stream {
            return u64::from(tokens);
        }
        assert!(
            body.ends_with(b"data: [DONE]\n\n"),
            "the stream is complete"
        );
        // An event can be split across chunks, so events are counted in the complete body.
        body.windows(TOKEN_MARKER.len())
            .filter(|window| *window == TOKEN_MARKER)
            .count() as u64
    }
}

async fn measure_calls(target: &Target, count: usize) -> Vec<f64> {
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

struct Throughput {
    tokens_per_s: f64,
    tokens_per_core_s: f64,
}

async fn tokens_per_s(target: &Target, streams: usize, seconds: u64) -> Throughput {
    let end = Instant::now() + Duration::from_secs(seconds);
    let (start, cpu_start) = (Instant::now(), cpu_time_s());
    let workers = (0..streams).map(|_| {
        let target = target.clone();
        tokio::spawn(async move {
            let mut tokens = 0;
            while Instant::now() < end {
                tokens += target.chat(TOKENS_PER_STREAM, true).await;
            }
            tokens
        })
    });
    let total: u64 = join_all(workers)
        .await
        .into_iter()
        .map(|count| count.unwrap_or(0))
        .sum();
    Throughput {
        tokens_per_s: total as f64 / start.elapsed().as_secs_f64(),
        tokens_per_core_s: total as f64 / (cpu_time_s() - cpu_start),
    }
}

fn percentile(times: &mut [f64], share: f64) -> f64 {
    times.sort_by(f64::total_cmp);
    times[((times.len() - 1) as f64 * share) as usize]
}

/// Returns the CPU time of this process in seconds.
fn cpu_time_s() -> f64 {
    const TICKS_PER_S: f64 = 100.0;
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or_default().split(' ');
    // utime and stime are the 14th and 15th field; the first two end at the parenthesis.
    let ticks: f64 = fields
        .skip(12)
        .take(2)
        .filter_map(|text| text.parse::<f64>().ok())
        .sum();
    ticks / TICKS_PER_S
}

/// Returns the resident set size of this process in MB, assuming 4 KiB pages.
fn resident_mb() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|text| text.parse::<f64>().ok());
    pages.unwrap_or(0.0) * 4096.0 / 1e6
}

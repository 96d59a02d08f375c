//! The connections of entries to the agent: their messages, and the updates and admissions for them.
//!
//! Invariants: an entry's prompts and use of the runner are forgotten when its connection ends; a
//! line that cannot be decoded ends its connection and nothing else.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::StreamExt;
use serving::line_limit::LineLimit;
use serving::link::FromAgent;
use serving::link::IDLE_SILENCE_TIMEOUT;
use serving::link::IDLE_STATE_INTERVAL;
use serving::link::IN_USE_PERIOD;
use serving::link::RunnerState;
use serving::link::SILENCE_TIMEOUT;
use serving::link::STATE_INTERVAL;
use serving::link::ToAgent;
use serving::load_scheduler::LinkId;
use serving::told_runners::ToldRunner;
use spdlog::info;
use spdlog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::broadcast::error::RecvError;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::AgentState;
use crate::lines;
use crate::lines::Lines;
use crate::recover::lock;
use crate::server::ACCEPT_RETRY_PAUSE;

/// The shortest interval between updates that no request waits for, such as a change of the load.
const NON_URGENT_INTERVAL: Duration = Duration::from_millis(200);
/// The most admissions queued for one entry; further ones are dropped, and the entry's own limit ends
/// the wait for them.
const MAX_QUEUED_ADMISSIONS: usize = 256;

/// The most connections of entries.
const MAX_LINKS: usize = 1_024;
/// The time for the first message of an entry.
const FIRST_TIMEOUT: Duration = Duration::from_secs(5);

/// Accepts the connections of entries until the agent stops, then ends them.
pub(super) async fn accept_entries(
    agent: Arc<AgentState>,
    listener: TcpListener,
    stop: CancellationToken,
) {
    let mut links = JoinSet::new();
    let mut refusals = LineLimit::default();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = links.join_next() => continue,
            () = stop.cancelled() => break,
        };
        match accepted {
            Ok(_) if links.len() >= MAX_LINKS => {
                agent.metrics.links_refused.inc();
                if let Some(omitted) = refusals.admit(agent.now()) {
                    warn!("entry refused, too many connections", kv: { open = links.len(), omitted });
                }
            }
            Ok((stream, _)) => {
                links.spawn(serve_entry(agent.clone(), stream));
            }
            Err(error) => {
                let error = error.to_string();
                warn!("accept failed", kv: { error = error.as_str() });
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
    links.shutdown().await;
}

/// Serves one entry until its connection ends, then drops the usage it reported.
async fn serve_entry(agent: Arc<AgentState>, stream: TcpStream) {
    let link = agent.next_link.fetch_add(1, Ordering::Relaxed);
    agent.metrics.entries.inc();
    let (queue, admitted) = mpsc::channel(MAX_QUEUED_ADMISSIONS);
    agent.admissions().insert(link, queue);
    let reason = exchange_messages(&agent, link, stream, admitted).await;
    agent.metrics.entries.dec();
    agent.admissions().remove(&link);
    agent.scheduler().remove_link(link);
    lock(&agent.told_runners).end_link(link);
    agent.end_holder(link);
    agent.deliver_admissions();
    let lines = lock(&agent.end_lines).admit(agent.now());
    if let Some(omitted) = lines {
        info!("entry disconnected", kv: { link, reason = reason.as_str(), omitted });
    }
}

async fn exchange_messages(
    agent: &Arc<AgentState>,
    link: LinkId,
    stream: TcpStream,
    mut admitted: mpsc::Receiver<u64>,
) -> String {
    let mut lines = match lines::frame_unknown(stream) {
        Ok(lines) => lines,
        Err(reason) => return reason,
    };
    let mut states = agent.states.subscribe();
    states.mark_changed();
    let mut last_received = Instant::now();
    let mut last_used = Instant::now();
    let mut last_sent: Option<(RunnerState, Instant)> = None;
    let mut crash_news = agent.crash_news.subscribe();
    let mut wants_crashes = false;
    // Whether a message of the entry was understood.
    let mut is_known = false;
    loop {
        let in_use = last_used.elapsed() < IN_USE_PERIOD;
        let interval = if in_use {
            STATE_INTERVAL
        } else {
            IDLE_STATE_INTERVAL
        };
        let due = last_sent
            .as_ref()
            .map_or(Instant::now(), |(_, at)| *at + interval);
        if is_known {
            lines::allow_long(&mut lines);
        }
        let silence = if !is_known {
            FIRST_TIMEOUT
        } else if agent.scheduler().is_used_by(link) {
            SILENCE_TIMEOUT
        } else {
            IDLE_SILENCE_TIMEOUT
        };
        let result = tokio::select! {
            line = lines.next() => match line {
                Some(Ok(line)) => {
                    last_received = Instant::now();
                    is_known = true;
                    match handle_message(agent, link, &line) {
                        Ok(Received::Hello { crashes }) => {
                            last_used = last_received;
                            wants_crashes = crashes;
                            send_crashes(&mut lines, agent, crashes).await
                        }
                        Ok(Received::Use) => {
                            last_used = last_received;
                            Ok(())
                        }
                        Ok(Received::Asked(answer)) => lines::send(&mut lines, &answer).await,
                        Ok(Received::Other) => Ok(()),
                        Err(reason) => Err(reason),
                    }
                }
                Some(Err(e)) => Err(e.to_string()),
                None => Err("closed".into()),
            },
            Some(first) = admitted.recv() => {
                let mut prompts = vec![first];
                while let Ok(prompt) = admitted.try_recv() {
                    prompts.push(prompt);
                }
                lines::send(&mut lines, &FromAgent::Admitted { prompts }).await
            }
            news = crash_news.recv(), if wants_crashes => match news {
                Ok(news) => lines::send(&mut lines, &news).await,
                Err(RecvError::Lagged(_)) => send_crashes(&mut lines, agent, true).await,
                Err(RecvError::Closed) => Err("stopping".into()),
            },
            changed = states.changed() => match changed {
                Ok(()) => {
                    let state = states.borrow_and_update().clone();
                    let pause = if in_use { NON_URGENT_INTERVAL } else { interval };
                    send_update(&mut lines, &mut last_sent, state, pause).await
                }
                Err(_) => Err("stopping".into()),
            },
            () = tokio::time::sleep_until(due) => {
                let state = states.borrow_and_update().clone();
                send_update(&mut lines, &mut last_sent, state, Duration::ZERO).await
            }
            () = tokio::time::sleep_until(last_received + silence) => Err("silent".into()),
        };
        if let Err(reason) = result {
            return reason;
        }
    }
}

/// Tells an entry that wants to hear of crashes the recent ones.
async fn send_crashes(lines: &mut Lines, agent: &AgentState, wanted: bool) -> Result<(), String> {
    if !wanted {
        return Ok(());
    }
    for crash in agent.recent_crashes() {
        lines::send(lines, &crash).await?;
    }
    Ok(())
}

/// Sends an entry what has changed since the last update. Changes that are not urgent wait until
/// `pause` has passed since then.
async fn send_update(
    lines: &mut Lines,
    last_sent: &mut Option<(RunnerState, Instant)>,
    state: RunnerState,
    pause: Duration,
) -> Result<(), String> {
    let now = Instant::now();
    if let Some((known, at)) = last_sent
        && now < *at + pause
        && !state.is_urgent_after(known)
    {
        return Ok(());
    }
    let known = last_sent.as_ref().map(|(known, _)| known);
    let update = state.update_since(known);
    lines::send(lines, &FromAgent::Update(Box::new(update))).await?;
    *last_sent = Some((state, now));
    Ok(())
}

/// What a message says about its entry.
enum Received {
    /// The entry has connected; `crashes` says whether it wants to hear of them.
    Hello { crashes: bool },
    /// The entry uses the runner.
    Use,
    /// The entry has asked for this answer.
    Asked(FromAgent),
    /// Nothing.
    Other,
}

/// Applies a message of an entry.
fn handle_message(agent: &Arc<AgentState>, link: LinkId, line: &str) -> Result<Received, String> {
    let message: ToAgent = serde_json::from_str(line).map_err(|e| e.to_string())?;
    let now = agent.now();
    match message {
        ToAgent::Hello {
            runner,
            born,
            capacity,
            crashes,
        } => {
            info!("entry connected", kv: { link, runner = &*runner, born });
            let told = ToldRunner {
                runner,
                born,
                capacity,
            };
            let capacity = lock(&agent.told_runners).record(link, told);
            if let Some(capacity) = capacity {
                agent.scheduler().set_capacity(capacity);
            }
            agent.wake.notify_one();
            Ok(Received::Hello { crashes })
        }
        ToAgent::Want {
            adapter,
            version,
            urgent,
        } => {
            agent
                .scheduler()
                .request_adapter(now, &adapter, version, urgent);
            agent.wake.notify_one();
            Ok(Received::Use)
        }
        ToAgent::Usage(usages) => {
            agent.scheduler().apply_usage(now, link, &usages);
            Ok(if usages.is_empty() {
                Received::Other
            } else {
                Received::Use
            })
        }
        ToAgent::Admit(prompt) => {
            agent.scheduler().admission.ask(now, link, prompt);
            agent.deliver_admissions();
            Ok(Received::Use)
        }
        ToAgent::PromptRead(prompt) => {
            agent.scheduler().admission.finish(now, (link, prompt));
            agent.deliver_admissions();
            Ok(Received::Use)
        }
        ToAgent::Broken(attempt) => {
            agent.record_broken(attempt);
            Ok(Received::Use)
        }
        ToAgent::Vouch { born, parts } => {
            agent.record_vouch(born, &parts);
            Ok(Received::Other)
        }
        ToAgent::Served(parts) => {
            agent.tell_served(parts);
            Ok(Received::Other)
        }
        ToAgent::Tokens(ask) => Ok(Received::Asked(agent.grant_tokens(now, link, &ask))),
    }
}

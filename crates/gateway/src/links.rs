//! The entry's connections to the runners' agents.
//!
//! Invariants: one task per runner incarnation owns the connection and reopens it after a loss; a
//! message that cannot be queued is dropped, since the request that needs it repeats it; a connection that is no
//! longer needed sends what was queued, and is closed after [`LINGER_TIME`].

mod link_end;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use decision::collections::Map;
use futures::StreamExt;
use serving::Name;
use serving::admission::Prompt;
use serving::config::Engine;
use serving::link::Capacity;
use serving::link::FromAgent;
use serving::link::ModelSpec;
use serving::link::RunnerUpdate;
use serving::link::SCARCE_ROOM;
use serving::link::SCARCE_USAGE_INTERVAL;
use serving::link::SILENCE_TIMEOUT;
use serving::link::ToAgent;
use serving::link::USAGE_INTERVAL;
use serving::quota::Grant;
use serving::runner::Member;
use serving::usage::UsageReporter;
use spdlog::info;
use spdlog::warn;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tokio::time::timeout_at;
use tokio_util::task::TaskTracker;

use self::link_end::LinkEnd;
use self::link_end::end_of;
use self::link_end::has_ended;
use crate::entry::Entry;
use crate::lines;
use crate::lines::Lines;
use crate::lines::send;
use crate::recover::lock;

/// The most messages queued for one agent.
const MAX_QUEUED_MESSAGES: usize = 256;
/// The time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The pause before a lost connection is reopened.
const RECONNECT_PAUSE: Duration = Duration::from_millis(250);
/// How long a connection that is no longer needed is kept for the answers to the last messages.
const LINGER_TIME: Duration = Duration::from_millis(150);
/// The share of the time until an announced version binds over which the updates of the adapter's
/// holders are spread, so that they do not all load it at once.
const UPDATE_SPREAD: f64 = 0.7;
/// The weight of recent requests from which an outdated version is replaced before a request needs
/// the newer one.
const UPDATE_MIN_DEMAND: f64 = 0.05;

/// The prompts that wait for their admission on one connection.
type WaitingPrompts = Arc<Mutex<Map<u64, oneshot::Sender<()>>>>;

/// The number of a link, unique within this process.
pub(crate) type LinkNumber = u64;

struct Link {
    queue: mpsc::Sender<ToAgent>,
    waiting: WaitingPrompts,
    /// Notified when an update changes the runner's state.
    changed: Arc<Notify>,
}

/// The connections to the agents of all runners with an engine, by runner.
#[derive(Default)]
pub struct AgentLinks {
    links: Mutex<Map<Name, Link>>,
    next_prompt: AtomicU64,
    next_link: AtomicU64,
    tasks: TaskTracker,
    aborts: Mutex<Vec<AbortHandle>>,
}

impl AgentLinks {
    /// Returns whether a connection to a runner's agent exists or is being opened.
    pub fn contains(&self, runner: &str) -> bool {
        let links = lock(&self.links);
        links.contains_key(runner)
    }

    /// Starts the connection to a runner's agent, unless it exists.
    pub fn open(&self, entry: &Arc<Entry>, member: &Member) {
        let mut links = lock(&self.links);
        if links.contains_key(&member.id) {
            return;
        }
        let (queue, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let changed = Arc::new(Notify::new());
        let waiting = WaitingPrompts::default();
        let link_task = LinkTask {
            entry: entry.clone(),
            member: member.clone(),
            number: self.next_link.fetch_add(1, Ordering::Relaxed),
            by_agent: false,
            messages,
            waiting: waiting.clone(),
            changed: changed.clone(),
        };
        let task = self.tasks.spawn(link_task.run()).abort_handle();
        let link = Link {
            queue,
            waiting,
            changed,
        };
        let mut aborts = lock(&self.aborts);
        aborts.retain(|task| !task.is_finished());
        aborts.push(task);
        links.insert(member.id.clone(), link);
    }

    /// Closes the connection to the agent of a runner that is gone or has restarted, once what is queued was sent.
    pub fn close(&self, runner: &str) {
        lock(&self.links).remove(runner);
    }

    /// Closes all connections and waits for their tasks.
    pub async fn stop(&self) {
        lock(&self.links).clear();
        for task in lock(&self.aborts).drain(..) {
            task.abort();
        }
        self.tasks.close();
        self.tasks.wait().await;
    }

    /// Requests an adapter from a runner's agent; `urgent` if a request waits for it. Does nothing
    /// without a connection, and drops the message if the queue is full.
    pub fn request_adapter(&self, runner: &str, adapter: &Name, version: u64, urgent: bool) {
        let links = lock(&self.links);
        let Some(link) = links.get(runner) else {
            return;
        };
        let message = ToAgent::Want {
            adapter: adapter.clone(),
            version,
            urgent,
        };
        if link.queue.try_send(message).is_err() {
            warn!("message to agent dropped", kv: { runner, adapter = &**adapter });
        }
    }

    /// Sends a message to a runner's agent. Does nothing without a connection, and drops the message if
    /// the queue is full.
    pub fn tell(&self, runner: &str, message: ToAgent) {
        let links = lock(&self.links);
        let Some(link) = links.get(runner) else {
            return;
        };
        if link.queue.try_send(message).is_err() {
            warn!("message to agent dropped", kv: { runner });
        }
    }

    /// Returns a number for a prompt, unique within this process.
    pub fn next_prompt(&self) -> u64 {
        self.next_prompt.fetch_add(1, Ordering::Relaxed)
    }

    /// Asks a runner's agent for the admission of a prompt. The result completes with an error if
    /// the connection ends first; it is `None` without a connection or if its queue is full.
    pub fn ask_admission(&self, runner: &str, prompt: Prompt) -> Option<oneshot::Receiver<()>> {
        let links = lock(&self.links);
        let link = links.get(runner)?;
        let (sender, admitted) = oneshot::channel();
        let id = prompt.id;
        let mut waiting = lock(&link.waiting);
        waiting.insert(id, sender);
        if link.queue.try_send(ToAgent::Admit(prompt)).is_err() {
            waiting.remove(&id);
            return None;
        }
        Some(admitted)
    }

    /// Tells a runner's agent that a prompt was read, or that its request has ended.
    pub fn finish_prompt(&self, runner: &str, id: u64) {
        let links = lock(&self.links);
        let Some(link) = links.get(runner) else {
            return;
        };
        lock(&link.waiting).remove(&id);
        if link.queue.try_send(ToAgent::PromptRead(id)).is_err() {
            warn!("message to agent dropped", kv: { runner, prompt = id });
        }
    }

    /// Waits until the state of a runner changes, at most until the deadline.
    pub async fn wait_for_change(&self, runner: &str, deadline: Instant) {
        let changed = {
            let links = lock(&self.links);
            links.get(runner).map(|link| link.changed.clone())
        };
        match changed {
            Some(changed) => {
                let _ = timeout_at(deadline, changed.notified()).await;
            }
            None => tokio::time::sleep_until(deadline).await,
        }
    }
}

/// The task that owns one connection.
struct LinkTask {
    entry: Arc<Entry>,
    member: Member,
    number: LinkNumber,
    /// Whether the agent has closed the last connection.
    by_agent: bool,
    messages: mpsc::Receiver<ToAgent>,
    waiting: WaitingPrompts,
    changed: Arc<Notify>,
}

impl LinkTask {
    async fn run(mut self) {
        let mut connected = false;
        loop {
            let end = self.run_connection(&mut connected).await;
            self.by_agent = end.by_agent;
            lock(&self.waiting).clear();
            if connected {
                let reason = end.reason.as_str();
                info!("agent disconnected", kv: { runner = &*self.member.id, reason });
                connected = false;
            }
            // The runner may have another link by now.
            if self.messages.is_closed() {
                return;
            }
            self.end_quotas();
            self.entry.state().fleet.set_linked(&self.member.id, false);
            tokio::time::sleep(RECONNECT_PAUSE).await;
        }
    }

    fn end_quotas(&self) {
        let runner = &self.member.id;
        self.entry
            .lose_quota_agent(runner, self.number, self.by_agent);
    }

    async fn run_connection(&mut self, connected: &mut bool) -> LinkEnd {
        let addr = SocketAddr::new(self.member.addr.ip(), self.entry.settings.agent_port);
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
        let stream = match connect {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => return e.to_string().into(),
            Err(_) => return "connect timeout".into(),
        };
        let mut lines = match lines::frame(stream) {
            Ok(lines) => lines,
            Err(reason) => return reason.into(),
        };
        let Some(hello) = self.hello() else {
            return "no engine is configured".into();
        };
        if let Err(e) = send(&mut lines, &hello).await {
            return e.into();
        }
        *connected = true;
        info!("agent connected", kv: { runner = &*self.member.id });
        let mut end = self.exchange_messages(&mut lines).await;
        if !end.by_agent {
            end.by_agent = has_ended(&mut lines).await;
        }
        end
    }

    async fn exchange_messages(&mut self, lines: &mut Lines) -> LinkEnd {
        let mut last_received = Instant::now();
        let mut last_reported = Instant::now();
        let mut usage_reporter = UsageReporter::default();
        loop {
            let due = last_reported + self.usage_interval();
            let sent = tokio::select! {
                line = lines.next() => match line {
                    Some(Ok(line)) => {
                        last_received = Instant::now();
                        self.handle_message(&line)
                    }
                    ended => return end_of(ended),
                },
                message = self.messages.recv() => match message {
                    Some(message) => send(lines, &message).await,
                    None => return self.linger(lines).await,
                },
                () = tokio::time::sleep_until(due) => {
                    last_reported = Instant::now();
                    self.report_usage(lines, &mut usage_reporter).await
                }
                () = tokio::time::sleep_until(last_received + SILENCE_TIMEOUT) => return "silent".into(),
            };
            if let Err(reason) = sent {
                return reason.into();
            }
        }
    }

    /// Handles the last messages of the agent.
    async fn linger(&self, lines: &mut Lines) -> LinkEnd {
        let end = Instant::now() + LINGER_TIME;
        while let Ok(received) = timeout_at(end, lines.next()).await {
            match received {
                Some(Ok(line)) => {
                    if let Err(reason) = self.handle_message(&line) {
                        return reason.into();
                    }
                }
                ended => return end_of(ended),
            }
        }
        "no longer needed".into()
    }

    fn usage_interval(&self) -> Duration {
        let state = self.entry.state();
        let room = state.fleet.get(&self.member.id).map(|runner| runner.room);
        match room {
            Some(room) if room < SCARCE_ROOM => SCARCE_USAGE_INTERVAL,
            _ => USAGE_INTERVAL,
        }
    }

    fn hello(&self) -> Option<ToAgent> {
        let state = self.entry.state();
        let config = state.config.as_ref()?;
        let engine = config.engine(&self.member.service)?;
        Some(ToAgent::Hello {
            runner: self.member.id.clone(),
            born: self.member.born,
            capacity: capacity(engine),
            crashes: true,
        })
    }

    fn handle_message(&self, line: &str) -> Result<(), String> {
        match serde_json::from_str(line).map_err(|e| e.to_string())? {
            FromAgent::Admitted { prompts } => self.mark_admitted(&prompts),
            FromAgent::Crash { crash } => self.entry.apply_crash(&self.member.id, crash),
            FromAgent::Served { served } => self.entry.apply_served(&served),
            FromAgent::Tokens {
                tenant,
                id,
                granted,
                wait_ms,
                stamp,
            } => {
                let grant = Grant {
                    granted,
                    wait: Duration::from_millis(wait_ms),
                    stamp,
                };
                self.entry.apply_grant(&self.member.id, &tenant, id, grant);
            }
            FromAgent::Update(update) => self.apply_update(&update),
        }
        Ok(())
    }

    fn mark_admitted(&self, prompts: &[u64]) {
        let mut waiting = lock(&self.waiting);
        for id in prompts {
            if let Some(sender) = waiting.remove(id) {
                // The request may have ended meanwhile.
                let _ = sender.send(());
            }
        }
    }

    fn apply_update(&self, update: &RunnerUpdate) {
        let now = self.entry.now();
        if update.born > self.member.born {
            self.entry.mark_members_outdated();
        }
        if update.quotas && !self.messages.is_closed() {
            self.entry.add_quota_agent(&self.member.id, self.number);
        }
        let mut state = self.entry.state();
        let changed = state.fleet.apply_update(now, &self.member.id, update);
        drop(state);
        if changed {
            self.changed.notify_waiters();
        }
    }

    /// Requests newer versions of outdated adapters, and sends this entry's use of the adapters if
    /// a report of it is due.
    async fn report_usage(
        &mut self,
        lines: &mut Lines,
        usage_reporter: &mut UsageReporter,
    ) -> Result<(), String> {
        let now = self.entry.now();
        let usage = self.entry.state().fleet.take_usage(&self.member.id);
        for message in self.outdated_adapter_requests() {
            send(lines, &message).await?;
        }
        match usage_reporter.due(now, usage) {
            Some(usage) => send(lines, &ToAgent::Usage(usage)).await,
            None => Ok(()),
        }
    }

    fn outdated_adapter_requests(&self) -> Vec<ToAgent> {
        let now = self.entry.now();
        let state = self.entry.state();
        let spread = self.entry.version_grace().mul_f64(UPDATE_SPREAD);
        let outdated = state.versions.outdated(now, spread, |adapter| {
            let position = state.fleet.holder_position(&self.member.id, adapter)?;
            (state.fleet.demand.weight(now, adapter) >= UPDATE_MIN_DEMAND).then_some(position)
        });
        outdated
            .into_iter()
            .filter(|(adapter, version)| {
                let held = state
                    .fleet
                    .get(&self.member.id)
                    .and_then(|runner| runner.adapters.get(adapter));
                held.is_some_and(|view| view.version < *version)
            })
            .map(|(adapter, version)| ToAgent::Want {
                adapter,
                version,
                urgent: false,
            })
            .collect()
    }
}

/// The task is aborted when its runner is gone, and its agent is not asked for tokens any more.
impl Drop for LinkTask {
    fn drop(&mut self) {
        self.end_quotas();
    }
}

fn capacity(engine: &Engine) -> Capacity {
    let models = engine.models.iter().map(|model| ModelSpec {
        name: model.name.clone(),
        weights_mb: model.weights_mb,
        adapter_mb: model.adapter_mb,
    });
    Capacity {
        weights_mb: engine.weights_mb,
        slots: engine.adapter_slots,
        models: models.collect(),
    }
}

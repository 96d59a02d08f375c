//! Listens to an attempt, and replaces it by another one if its answer stays away.
//!
//! Invariants: a silent attempt goes on until another one is answered; a retry is taken from the budget only
//! when the other attempt is sent.

use std::time::Duration;

use decision::time::Time;
use serving::Name;
use serving::attempt::Outcome;
use serving::placement::Placement;
use serving::retry_budget::RetryCause;
use serving::silence;
use serving::silence::Choice;
use serving::silence::Handover;
use serving::silence::KeepCause;
use serving::silence::Rivals;
use serving::silence::SilenceScope;
use serving::silence::SilenceWatch;
use spdlog::info;

use crate::attempt::AnswerResult;
use crate::attempt::FailedAttempt;
use crate::attempt::SentAttempt;
use crate::dispatch::ActiveRequest;
use crate::entry::Entry;
use crate::send::PreparedAttempt;
use crate::step::Step;

/// How two attempts at one request end up.
enum RaceEnd {
    /// One is answered, and the other is given up.
    Answered(Placement, AnswerResult),
    /// One has failed or is given up, for this cause if it is the replacement.
    Left(SentAttempt, Option<KeepCause>),
}

/// A silent attempt.
pub(crate) struct SilentAttempt<'a> {
    pub(crate) runner: &'a Name,
    pub(crate) born: u64,
    pub(crate) since: Time,
    pub(crate) silence: Duration,
    pub(crate) scope: SilenceScope,
}

impl Entry {
    /// Records that an attempt at an incarnation of a runner is silent; returns what is silent.
    pub(crate) fn observe_silence(&self, runner: &str, born: u64, since: Time) -> SilenceScope {
        let now = self.now();
        let mut state = self.state();
        let state = &mut *state;
        state
            .fleet
            .observe_silence(now, since, runner, born, &mut state.rng)
    }

    fn heard_at(&self, runner: &str, born: u64) -> Option<Time> {
        let state = self.state();
        let view = state.fleet.get(runner)?;
        view.heard_at.filter(|_| view.member.born == born)
    }
}

impl ActiveRequest {
    /// Waits for the answer to an attempt, or to one that replaces it while it is silent.
    pub(crate) async fn wait_for_answer(
        &mut self,
        mut sent: SentAttempt,
        resume: Option<u64>,
    ) -> (Placement, AnswerResult) {
        let patience = silence::answer_patience(self.route.kind, self.route.goal);
        let mut watch = SilenceWatch::new(sent.sent_at, patience);
        let mut kept = None;
        loop {
            let due = self.entry.clock.instant(watch.due_at());
            let may_replace = self.attempts.may_replace() || watch.is_first_check();
            let is_due = may_replace && watch.due_at() < self.deadline;
            tokio::select! {
                biased;
                result = &mut sent.answer => return (sent.placement, result),
                () = tokio::time::sleep_until(due), if is_due => {}
            }
            if !self.route.kind.is_stream() && sent.head_at.get().is_some() {
                // A body that has begun is read to its end.
                return (sent.placement, sent.answer.await);
            }
            let Placement { runner, born, .. } = &sent.placement;
            let silent = self.find_silent(runner, *born, &watch);
            let replacement = tokio::select! {
                biased;
                result = &mut sent.answer => Err(result),
                replacement = self.replace(resume) => Ok(replacement),
            };
            self.step = Step::Response;
            let cause = match replacement {
                Err(result) => {
                    self.release_choice();
                    return (sent.placement, result);
                }
                Ok(Err(cause)) => {
                    self.log_silent(&silent, cause, kept.replace(cause) != Some(cause));
                    watch.record_check(self.entry.now());
                    continue;
                }
                Ok(Ok(second)) => {
                    self.log_sent(&silent, &second);
                    let since = silent.since;
                    match self.race(sent, second, since).await {
                        RaceEnd::Answered(placement, result) => return (placement, result),
                        RaceEnd::Left(left, cause) => {
                            sent = left;
                            cause
                        }
                    }
                }
            };
            watch = SilenceWatch::new(sent.sent_at, patience);
            if let Some(cause) = cause {
                watch.record_check(self.entry.now());
                let Placement { runner, born, .. } = &sent.placement;
                let silent = self.find_silent(runner, *born, &watch);
                kept = Some(cause);
                self.log_silent(&silent, cause, true);
            }
        }
    }

    /// Observes that an attempt is silent.
    pub(crate) fn find_silent<'a>(
        &self,
        runner: &'a Name,
        born: u64,
        watch: &SilenceWatch,
    ) -> SilentAttempt<'a> {
        let now = self.entry.now();
        let scope = if watch.is_first_check() && self.attempts.may_replace() {
            self.entry.observe_silence(runner, born, watch.since())
        } else {
            self.silence_scope(runner, born, watch.since())
        };
        SilentAttempt {
            runner,
            born,
            since: watch.since(),
            silence: watch.silence(now),
            scope,
        }
    }

    /// Sends the request to another runner beside the silent one. Nothing is given up, and no retry taken,
    /// unless it is sent.
    pub(crate) async fn replace(&mut self, resume: Option<u64>) -> Result<SentAttempt, KeepCause> {
        let result = self.send_beside(resume).await;
        if result.is_err() {
            self.release_choice();
        }
        result
    }

    async fn send_beside(&mut self, resume: Option<u64>) -> Result<SentAttempt, KeepCause> {
        self.check_replacement()?;
        self.excluded = match self.attempts.only_runner() {
            Some(_) => Vec::new(),
            None => self.attempts.tried().to_vec(),
        };
        let placement = self.locate().await.map_err(|_| KeepCause::NoRunner)?;
        if placement.silent {
            return Err(KeepCause::NoRunner);
        }
        self.step = Step::Admission;
        let prompt = self.admit_prompt(&placement).await;
        self.step = Step::Connection;
        let conn = self.connect(&placement).await;
        let conn = conn.ok_or(KeepCause::Unreachable)?;
        // Meanwhile others may have taken the last retry, or the time be over.
        self.check_replacement()?;
        let now = self.entry.now();
        let inflight = self.begin(now, &placement).ok_or(KeepCause::NoRunner)?;
        let prepared = PreparedAttempt {
            placement,
            prompt,
            conn,
            resume,
        };
        let second = self.start(now, prepared, inflight);
        let mut state = self.entry.state();
        // `check_replacement` has found one left, and nothing has been awaited since.
        state
            .retry_budget
            .try_take(now, &self.service, RetryCause::Silent);
        drop(state);
        Ok(second)
    }

    fn check_replacement(&self) -> Result<(), KeepCause> {
        if !self.attempts.may_replace() {
            return Err(KeepCause::NoAttempt);
        }
        if self.deadline.since(self.entry.now()) < silence::MAX_OVERLAP {
            return Err(KeepCause::NoTime);
        }
        if !self.can_finish() {
            return Err(KeepCause::Stopping);
        }
        if !self.is_unsuspected() {
            return Err(KeepCause::Suspected);
        }
        let now = self.entry.now();
        let mut state = self.entry.state();
        let budget = &mut state.retry_budget;
        if !budget.has_left(now, &self.service, RetryCause::Silent) {
            return Err(KeepCause::NoRetry);
        }
        Ok(())
    }

    /// Listens to a silent attempt and its replacement until one of them is left.
    async fn race(
        &mut self,
        mut silent: SentAttempt,
        mut second: SentAttempt,
        since: Time,
    ) -> RaceEnd {
        loop {
            let Placement { runner, born, .. } = &silent.placement;
            let scope = self.silence_scope(runner, *born, since);
            let choice = self.choose_attempt(scope, &second);
            let until = match choice {
                Choice::Both(until) => until,
                Choice::Silent => {
                    self.give_up(&second.placement.runner);
                    return RaceEnd::Left(silent, Some(KeepCause::ReplacementSilent));
                }
                Choice::Replacement => {
                    self.give_up(&silent.placement.runner);
                    return RaceEnd::Left(second, None);
                }
            };
            let until = self.entry.clock.instant(until.unwrap_or(self.deadline));
            let (is_silent, result) = tokio::select! {
                biased;
                result = &mut silent.answer => (true, result),
                result = &mut second.answer => (false, result),
                () = tokio::time::sleep_until(until), if choice != Choice::Both(None) => continue,
            };
            let (ended, other) = match is_silent {
                true => (silent, second),
                false => (second, silent),
            };
            return match result {
                Ok(response) => {
                    self.give_up(&other.placement.runner);
                    RaceEnd::Answered(ended.placement, Ok(response))
                }
                Err(failed) => {
                    self.record_failed_beside(&ended.placement, &failed);
                    let cause = (!is_silent).then_some(KeepCause::ReplacementFailed);
                    RaceEnd::Left(other, cause)
                }
            };
        }
    }

    /// Decides whether a silent attempt, its replacement or both go on.
    pub(crate) fn choose_attempt(&self, scope: SilenceScope, second: &SentAttempt) -> Choice {
        let Placement { runner, born, .. } = &second.placement;
        let is_slow = {
            let state = self.entry.state();
            let prefill = state.fleet.get(runner).map_or(0, |view| view.prefill);
            silence::is_long_prompt(self.head.request.prompt_tokens, prefill)
        };
        let rivals = Rivals {
            scope,
            sent_at: second.sent_at,
            heard_at: self.entry.heard_at(runner, *born),
            is_last: is_slow || self.attempts.is_last_replacement(),
        };
        let handover = Handover::of(self.route.kind);
        silence::choose(self.entry.now(), handover, &rivals)
    }

    /// Returns what is silent, of an attempt that is silent since a time.
    pub(crate) fn silence_scope(&self, runner: &Name, born: u64, since: Time) -> SilenceScope {
        let heard_at = self.entry.heard_at(runner, born);
        silence::scope(self.entry.now(), since, heard_at)
    }

    /// Records that one of two attempts is given up.
    pub(crate) fn give_up(&mut self, runner: &Name) {
        self.attempts.record_ended_beside(runner, Outcome::Unknown);
    }

    /// Records that one of two attempts has failed.
    pub(crate) fn record_failed_beside(&mut self, placement: &Placement, failed: &FailedAttempt) {
        self.log_attempt(placement, failed);
        self.report_failed(placement, failed);
        self.attempts
            .record_ended_beside(&placement.runner, failed.outcome);
    }

    /// Counts a silent attempt that goes on alone, and logs it if the cause is new.
    pub(crate) fn log_silent(&self, silent: &SilentAttempt<'_>, cause: KeepCause, is_new: bool) {
        let decision = "kept";
        let counter = &self.entry.metrics.silent_attempts;
        counter.with_label_values(&[decision]).inc();
        if !is_new {
            return;
        }
        let (scope, cause) = (silent.scope.to_string(), cause.to_string());
        info!("attempt silent", kv: {
            id = &*self.head.request.id, runner = &**silent.runner,
            silent_ms = silent.silence.as_millis() as u64, scope = scope.as_str(), decision,
            cause = cause.as_str()
        });
    }

    /// Logs that another attempt was sent beside a silent one.
    pub(crate) fn log_sent(&self, silent: &SilentAttempt<'_>, second: &SentAttempt) {
        let decision = "sent elsewhere";
        let counter = &self.entry.metrics.silent_attempts;
        counter.with_label_values(&[decision]).inc();
        let scope = silent.scope.to_string();
        info!("attempt silent", kv: {
            id = &*self.head.request.id, runner = &**silent.runner,
            silent_ms = silent.silence.as_millis() as u64, scope = scope.as_str(), decision,
            other = &*second.placement.runner
        });
    }
}

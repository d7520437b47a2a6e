//! One request under way: its first send, one copy where it is pending for long, repeats, and the
//! answer that wins.

use super::answer::is_own_failure;
use super::attempt::{self, Begun, Ended, Sent};
use super::exchange::{Exchanges, GivenUp, Job, MOST_REJECTIONS, Tries};
use super::pick::Choice;
use crate::clock;
use crate::counters::Event;
use crate::fleet::Question;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use routing::admission::InFlightId;
use routing::prefix_index::{Placement, PrefixKey, PrefixLocation};
use std::time::Duration;

/// Part of the retry budget that copies leave to repeats after failures.
const KEPT_FOR_FAILURES: f64 = 0.4;
/// Advice to clients that are refused, in seconds.
const RETRY_AFTER: f64 = 0.15;
/// Shared starts of fewer tokens are not asked for.
const LEAST_SHARED: u64 = 64;
/// A prompt is worth saving where so much of it is shared: a save brings the whole prompt to the
/// store.
const SAVE_SHARE: f64 = 0.25;

type Send<'a> = std::pin::Pin<Box<dyn Future<Output = attempt::Result> + std::marker::Send + 'a>>;

/// One request under way.
pub struct Pending<'a> {
    exchanges: &'a Exchanges,
    job: &'a Job,
    tries: Tries,
    running: FuturesUnordered<Send<'a>>,
    sent: Vec<Sent>,
    copied: bool,
    advice: Option<f64>,
    located: Option<PrefixLocation>,
    admitted: Option<InFlightId>,
    /// A backend's own failure, to be passed on where nothing better comes.
    failure: Option<Begun>,
}

impl<'a> Pending<'a> {
    /// Nothing is sent yet.
    pub fn new(exchanges: &'a Exchanges, job: &'a Job) -> Self {
        Pending {
            exchanges,
            job,
            tries: Tries::default(),
            running: FuturesUnordered::new(),
            sent: Vec::new(),
            copied: false,
            advice: None,
            located: None,
            admitted: None,
            failure: None,
        }
    }

    /// Sends it until there is an answer to pass on, or none can be had.
    pub async fn run(mut self) -> Result<(Begun, Tries), GivenUp> {
        let Some(planned) = self.exchanges.choose_soon(self.job, &[], None).await else {
            return Err(self.give_up(false));
        };
        if self.exchanges.is_one_too_many(self.job, &planned) {
            return Err(GivenUp::NotRun {
                retry_after: overload_advice(self.job),
            });
        }
        let choice = self.locate(planned).await;
        self.send(choice);
        self.admitted = Some(
            self.exchanges
                .with_admission(&self.job.service, |admission| {
                    admission.record_sent(self.job.route.target_latency_ms, clock::now())
                }),
        );
        self.exchanges
            .with_learned(self.job, |learned| learned.copies.deposit());
        let hedge_after = self
            .exchanges
            .with_learned(self.job, |learned| learned.pace.p95);
        let hedge = tokio::time::sleep(Duration::from_nanos(hedge_after as u64));
        tokio::pin!(hedge);
        let mut may_copy = self.job.call.is_repeatable;
        let late = tokio::time::sleep_until(self.job.until);
        tokio::pin!(late);
        loop {
            tokio::select! {
                biased;
                Some(result) = self.running.next() => {
                    let may_go_on = match result {
                        Ok(begun) if self.may_do_better(&begun) => {
                            self.failure = Some(begun);
                            self.tries.runs < self.job.route.attempts
                        }
                        Ok(begun) => return Ok(self.finish(begun)),
                        Err(ended) => self.goes_on(ended),
                    };
                    if self.running.is_empty() && !(may_go_on && self.send_again().await) {
                        return self.end_without_success(false);
                    }
                }
                () = &mut hedge, if may_copy => {
                    may_copy = false;
                    self.copy();
                }
                () = &mut late => return self.end_without_success(true),
            }
        }
    }

    /// Asks where the shared start of the prompt is kept, and chooses anew where somebody keeps it.
    async fn locate(&mut self, planned: Choice) -> Choice {
        let Some(question) = self.question(&planned) else {
            return planned;
        };
        let key = question.key;
        self.located = self.exchanges.locator.locate(question).await;
        let Some(located) = self
            .located
            .as_ref()
            .filter(|located| !located.replicas.is_empty())
        else {
            return planned;
        };
        let choice = self
            .exchanges
            .choose(self.job, &[], Some(located))
            .unwrap_or(planned);
        if let Some(placement) = placement(&choice)
            && !located.is_cached_by(&placement.backend, placement.version)
        {
            self.exchanges.locator.tell_placed(key, placement);
        }
        choice
    }

    /// What the owner of the prompt's shared start is asked; none where little is shared.
    fn question(&self, planned: &Choice) -> Option<Question> {
        let call = &self.job.call;
        let prompt = call.prompt.as_ref()?;
        let shared: u64 = prompt.shared_tokens();
        let key = PrefixKey::of_prompt(&call.wall, prompt).filter(|_| shared >= LEAST_SHARED)?;
        let wants_save = shared as f64 >= SAVE_SHARE * prompt.input_tokens as f64;
        Some(Question {
            key,
            planned: placement(planned)?,
            wants_save,
        })
    }

    fn send(&mut self, choice: Choice) {
        self.exchanges.count(Event::Sent);
        self.tries.tried.push(choice.backend.id.clone());
        self.tries.runs += 1;
        let sent = Sent::default();
        self.sent.push(sent.clone());
        let (exchanges, job, located) = (self.exchanges, self.job, self.located.clone());
        let send = async move {
            exchanges
                .send(job, choice, None, located.as_ref(), sent)
                .await
        };
        self.running.push(Box::pin(send));
    }

    /// One copy of a request that is pending for longer than most, at another backend.
    fn copy(&mut self) {
        if self.copied || self.running.len() != 1 || self.tries.runs >= self.job.route.attempts {
            return;
        }
        let allowed = self
            .exchanges
            .with_learned(self.job, |learned| learned.copies.is_available());
        if !allowed {
            return;
        }
        let located = self.located.as_ref();
        let Some(choice) = self.exchanges.choose(self.job, &self.tries.tried, located) else {
            return;
        };
        if self
            .exchanges
            .take_repeat(&self.job.service, KEPT_FOR_FAILURES)
        {
            self.exchanges
                .with_learned(self.job, |learned| learned.copies.withdraw());
            self.copied = true;
            self.exchanges.count(Event::Copied);
            self.send(choice);
        }
    }

    /// Notes how a send ended. Whether the request may be sent once more.
    fn goes_on(&mut self, ended: Ended) -> bool {
        let route = &self.job.route;
        match ended {
            Ended::NotSent => {
                self.tries.runs -= 1;
                self.tries.rejections += 1;
                self.tries.rejections <= MOST_REJECTIONS
            }
            Ended::Rejected {
                retry_after,
                misdirected,
            } => {
                self.exchanges.count(if misdirected {
                    Event::Misdirected
                } else {
                    Event::Rejected
                });
                self.tries.runs -= 1;
                self.tries.rejections += 1;
                self.advice = retry_after.or(self.advice);
                self.tries.rejections <= MOST_REJECTIONS
            }
            Ended::Broken | Ended::Withdrawn => {
                route.is_idempotent() && self.tries.runs < route.attempts
            }
        }
    }

    /// Whether a backend failed by its own fault, and another one may do better: one that has a
    /// copy, or that is still to get one.
    fn may_do_better(&self, begun: &Begun) -> bool {
        let is_left = !self.running.is_empty() || self.tries.runs < self.job.route.attempts;
        is_own_failure(begun.status) && self.job.call.is_repeatable && is_left
    }

    /// Sends the request once more. False where that is not permitted, or there is nowhere to send
    /// it.
    async fn send_again(&mut self) -> bool {
        if !self.exchanges.take_repeat(&self.job.service, 0.0) {
            return false;
        }
        let tried = self.tries.tried.clone();
        let choice = self
            .exchanges
            .choose_soon(self.job, &tried, self.located.as_ref())
            .await;
        let found = choice.is_some();
        if let Some(choice) = choice {
            self.exchanges.count(Event::Repeated);
            self.send(choice);
        }
        found
    }

    /// Passes a backend's own failure on where there was one; else the request is given up.
    fn end_without_success(&mut self, late: bool) -> Result<(Begun, Tries), GivenUp> {
        match self.failure.take() {
            Some(failure) => Ok(self.finish(failure)),
            None => Err(self.give_up(late)),
        }
    }

    /// The first answer wins. Dropping the other sends closes their connections.
    fn finish(&mut self, begun: Begun) -> (Begun, Tries) {
        self.running.clear();
        if let Some(id) = self.admitted.take() {
            self.exchanges
                .with_admission(&self.job.service, |admission| {
                    admission.record_response(id, clock::now());
                });
        }
        if begun.status.is_success() {
            let took = begun.took.as_nanos() as u64;
            self.exchanges
                .with_learned(self.job, |learned| learned.pace.add(took));
        }
        (begun, std::mem::take(&mut self.tries))
    }

    fn give_up(&mut self, late: bool) -> GivenUp {
        self.running.clear();
        if self.sent.iter().any(Sent::may_run) {
            GivenUp::MayHaveRun { late }
        } else {
            GivenUp::NotRun {
                retry_after: self.advice.unwrap_or(RETRY_AFTER),
            }
        }
    }
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.admitted.take() {
            self.exchanges
                .with_admission(&self.job.service, |admission| admission.discard(id));
        }
    }
}

/// When a client that is refused for too much load may come back, in seconds: spread, so that not
/// all do at once.
fn overload_advice(job: &Job) -> f64 {
    let objective = job.route.target_latency_ms as f64 / 1_000.0;
    objective * (0.5 + fastrand::f64())
}

/// A choice as owners of prefixes know it.
fn placement(choice: &Choice) -> Option<Placement> {
    Some(Placement {
        backend: choice.backend.id.clone(),
        version: choice.version?,
    })
}

//! Pulling news from other nodes and answering their pulls.

use super::Fleet;
use super::named_weights::SentAt;
use crate::clock;
use crate::links::{Answer, lock};
use crate::protocol::{PullRequest, Pulled, Request, Response};
use crate::replica::ReplicaHandle;
use control::Millis;
use control::directory::{Key, MemberStatus, Value};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

/// How long a pull may wait for news.
pub const PULL_WAIT: Duration = Duration::from_millis(1_500);
/// An answer with news is late after this, beyond the time that it may wait for them.
const NEWS_PATIENCE: Duration = Duration::from_millis(900);
/// The same for an answer with everything.
const WHOLE_PATIENCE: Duration = Duration::from_millis(4_000);
/// A late answer is given up after this. A connection whose other end has gone breaks sooner.
const ANSWER_PATIENCE: Duration = Duration::from_millis(5_000);
/// News that come one by one are taken together where the asker holds no replica: for so long a
/// member of the fleet, so that large fleets are not told of each backend by an answer of its own,
/// and at the most for this long.
const GATHER_EACH: Duration = Duration::from_micros(500);
const LONGEST_GATHER: Duration = Duration::from_millis(250);
/// A node whose control state was not known to be the newest for so long has lost touch with the
/// primary, whose heartbeats come every 0.2 s.
const OUT_OF_TOUCH: Millis = 1_000;
/// Kilobytes of answers with everything that are in memory at once.
pub(super) const WHOLE_ANSWERS_KB: u32 = 8 << 10;
/// A record takes about so many bytes in an answer.
const RECORD_BYTES: usize = 200;
/// What came of a pull.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pull {
    /// There was an answer.
    Answered,
    /// There was one, of a node that has lost touch with the primary: another one may know more.
    OutOfTouch,
    /// There was none in time, or the connection broke.
    Failed,
}

impl Fleet {
    fn pull_request(&self, wait: Duration) -> PullRequest {
        let directory = lock(&self.directory);
        let published = lock(&self.published);
        let own = directory.get(&Key::Member(self.settings.node_name.clone()));
        let revision = match own {
            Some(Value::Member(member))
                if member.incarnation != self.incarnation
                    || member.status == MemberStatus::Down =>
            {
                member.revision + 1
            }
            Some(Value::Member(member)) => member.revision,
            _ => 1,
        };
        PullRequest {
            name: self.settings.node_name.clone(),
            member: self.own_member(revision),
            vector: directory.vector().clone(),
            position: published.position(),
            base: published.base(),
            epoch: lock(&self.leader).as_ref().map_or(0, |leader| leader.0),
            wait_ms: wait.as_millis() as u64,
            missing: self.missing_members(&directory),
        }
    }

    /// Asks one node for news once. `is_late` is called where the answer does not come when it
    /// should; it is waited for a while longer, as asking again would only add to what is queued.
    pub async fn pull(&self, from: SocketAddrV4, wait: Duration, is_late: impl FnOnce()) -> Pull {
        let request = self.pull_request(wait);
        let asked_at = clock::now();
        // Whoever has nothing yet gets everything, and many may ask for that at once.
        let patience = if request.base.is_none() {
            WHOLE_PATIENCE
        } else {
            NEWS_PATIENCE
        };
        let asked = self
            .links
            .ask(from, Request::Pull(request), wait + ANSWER_PATIENCE);
        tokio::pin!(asked);
        let response = match tokio::time::timeout(wait + patience, &mut asked).await {
            Ok(response) => response,
            Err(_) => {
                is_late();
                asked.await
            }
        };
        let Some(Response::Pulled(pulled)) = response else {
            return Pull::Failed;
        };
        let changed = lock(&self.directory).merge(pulled.records, &pulled.vector);
        let sent_at = SentAt {
            earliest: asked_at + pulled.held_ms,
            latest: clock::now(),
        };
        self.hear_of_named_weights(pulled.named_weights, sent_at);
        let news = pulled.state.is_some_and(|state| {
            self.name_weights_now(&state.weights);
            lock(&self.published).take(state)
        });
        self.hear_of_leader(pulled.leader);
        if !changed.is_empty() || news {
            self.announce();
        }
        self.note_age(asked_at + pulled.held_ms, pulled.age_ms);
        let is_in_touch = pulled.age_ms.is_some_and(|age| age < OUT_OF_TOUCH);
        if is_in_touch {
            Pull::Answered
        } else {
            Pull::OutOfTouch
        }
    }

    /// Another node's state, which is here now, was last known to be the newest so long before it
    /// was sent, which was not before this moment: however long the answer took on its way, it is
    /// not taken for newer than it is.
    fn note_age(&self, sent_at: Millis, age_ms: Option<u64>) {
        let at = age_ms.map(|age| sent_at.saturating_sub(age));
        let mut known = lock(&self.pulled_current_at);
        *known = (*known).max(at);
    }

    /// How long ago the control state here was last known to be the newest; none where it never
    /// was.
    pub fn age(&self) -> Option<Millis> {
        let own = self.replica.as_ref().and_then(ReplicaHandle::current_at);
        let at = own.max(*lock(&self.pulled_current_at))?;
        Some(clock::now().saturating_sub(at))
    }

    pub(super) fn is_in_touch(&self) -> bool {
        self.age().is_some_and(|age| age < OUT_OF_TOUCH)
    }

    /// Comes back once this node has lost touch with the primary; never where it had before.
    async fn loses_touch(&self) {
        if !self.is_in_touch() {
            return std::future::pending().await;
        }
        while let Some(age) = self.age().filter(|age| *age < OUT_OF_TOUCH) {
            tokio::time::sleep(Duration::from_millis(OUT_OF_TOUCH - age)).await;
        }
    }

    /// Answers a pull as soon as there is news for the asker. Answers with everything are large,
    /// and many routers may ask for one at the same time: only a few of them are in memory at once.
    pub(super) async fn answer_pull(&self, request: PullRequest) -> Answer {
        self.take_member(&request);
        let mut news = self.subscribe();
        self.hear_of_peer(&request);
        let begun = Instant::now();
        let wait = tokio::time::sleep(Duration::from_millis(request.wait_ms));
        let loses_touch = self.loses_touch();
        tokio::pin!(wait, loses_touch);
        loop {
            if self.has_news_for(&request) {
                break;
            }
            tokio::select! {
                () = &mut wait => break,
                () = &mut loses_touch => break,
                changed = news.changed() => if changed.is_err() { break },
            }
            if request.member.replica.is_none() && self.has_news_for(&request) {
                tokio::time::sleep(self.gather_time()).await;
            }
        }
        let permit = if self.wants_everything(&request) {
            let kilobytes = self.whole_answer_kb();
            // The semaphore is never closed.
            self.whole_answers
                .clone()
                .acquire_many_owned(kilobytes)
                .await
                .ok()
        } else {
            None
        };
        let directory = lock(&self.directory);
        let pulled = Pulled {
            records: directory.records_since(&request.vector),
            vector: directory.vector().clone(),
            state: lock(&self.published).update_for(request.position, request.base),
            leader: self.leader(),
            age_ms: self.age(),
            named_weights: self.named_weights(),
            held_ms: begun.elapsed().as_millis() as u64,
        };
        Answer {
            response: Response::Pulled(Box::new(pulled)),
            permit,
        }
    }

    /// For how long news are gathered before routers without replicas are told of them.
    pub fn gather_time(&self) -> Duration {
        let members = u32::try_from(self.members_up()).unwrap_or(u32::MAX);
        GATHER_EACH.saturating_mul(members).min(LONGEST_GATHER)
    }

    /// Whether the answer to a pull holds all members and backends, or a whole configuration.
    fn wants_everything(&self, request: &PullRequest) -> bool {
        let knows_some = !request.vector.is_empty();
        let lacks_configuration =
            request.base.is_none() && lock(&self.published).version().is_some();
        lacks_configuration || !knows_some
    }

    /// About how many kilobytes an answer with everything takes.
    fn whole_answer_kb(&self) -> u32 {
        let records = lock(&self.directory).len() * RECORD_BYTES;
        let bytes = records + lock(&self.published).text_bytes();
        u32::try_from(1 + bytes / 1024)
            .unwrap_or(u32::MAX)
            .min(WHOLE_ANSWERS_KB)
    }

    fn has_news_for(&self, request: &PullRequest) -> bool {
        lock(&self.directory).has_records_since(&request.vector)
            || lock(&self.published).position().index > request.position.index
            || self
                .leader()
                .is_some_and(|(epoch, _)| epoch > request.epoch)
    }
}

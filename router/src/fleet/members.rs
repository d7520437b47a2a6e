//! Membership: records the members that pull from this node, and marks those as down whose monitors
//! receive no heartbeats.

use super::{Fleet, MonitoredIncarnation};
use crate::protocol::PullRequest;
use crate::sync::lock;
use compact_str::CompactString;
use control::Millis;
use control::directory::{Directory, Key, Member, MemberStatus, Value};

/// Time without heartbeats, in milliseconds, after which a monitored member is missing.
const MEMBER_TIMEOUT: Millis = 3_500;

impl Fleet {
    /// Monitored members whose heartbeats are missing, with their revisions.
    pub fn missing(&self) -> Vec<(CompactString, u64)> {
        self.missing_members(&lock(&self.directory))
    }

    pub(super) fn missing_members(&self, directory: &Directory) -> Vec<(CompactString, u64)> {
        let unresponsive = lock(&self.monitored).expired(MEMBER_TIMEOUT);
        let is_up = |(name, revision): &MonitoredIncarnation| match directory
            .get(&Key::Member(name.clone()))
        {
            Some(Value::Member(member)) => {
                member.status == MemberStatus::Up && member.revision == *revision
            }
            _ => false,
        };
        unresponsive.into_iter().filter(is_up).collect()
    }

    /// Records the sender of a pull as a member, and marks the members as down that it reports as
    /// missing.
    pub(super) fn observe_member(&self, request: &PullRequest) {
        let key = Key::Member(request.name.clone());
        let current = match lock(&self.directory).get(&key) {
            Some(Value::Member(member)) => Some(member.clone()),
            _ => None,
        };
        let mut member = request.member.clone();
        if let Some(current) = &current {
            let same = current.incarnation == member.incarnation && current.status == member.status;
            let refutes =
                current.incarnation != member.incarnation || current.status == MemberStatus::Down;
            member.revision = match (same, refutes) {
                (true, _) => current.revision,
                (_, true) => current.revision.max(member.revision - 1) + 1,
                _ => current.revision,
            };
        }
        if current.as_ref() != Some(&member) {
            self.put(key, Value::Member(member));
        }
        for (name, revision) in &request.missing {
            self.mark_down(name, *revision);
        }
    }

    /// Marks a member as down after a monitor has reported its heartbeats as missing.
    pub fn mark_down(&self, name: &CompactString, revision: u64) {
        let key = Key::Member(name.clone());
        let current = match lock(&self.directory).get(&key) {
            Some(Value::Member(member)) => member.clone(),
            _ => return,
        };
        if current.revision == revision && current.status == MemberStatus::Up {
            log::info!("member {name} is down: a monitor receives no heartbeats from it");
            self.put(
                key,
                Value::Member(Member {
                    status: MemberStatus::Down,
                    ..current
                }),
            );
        }
    }
}

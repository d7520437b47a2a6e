//! Which routers are there: what askers say of themselves, and which ones a monitor misses.

use super::{Fleet, MonitoredLife};
use crate::links::lock;
use crate::protocol::PullRequest;
use compact_str::CompactString;
use control::Millis;
use control::directory::{Directory, Key, Member, MemberStatus, Value};

/// Counted time after which a monitored member is missed.
const MEMBER_PATIENCE: Millis = 3_500;

impl Fleet {
    /// Members that this node monitors and does not hear.
    pub fn missing(&self) -> Vec<(CompactString, u64)> {
        self.missing_members(&lock(&self.directory))
    }

    pub(super) fn missing_members(&self, directory: &Directory) -> Vec<(CompactString, u64)> {
        let unresponsive = lock(&self.monitored).expired(MEMBER_PATIENCE);
        let is_up =
            |(name, revision): &MonitoredLife| match directory.get(&Key::Member(name.clone())) {
                Some(Value::Member(member)) => {
                    member.status == MemberStatus::Up && member.revision == *revision
                }
                _ => false,
            };
        unresponsive.into_iter().filter(is_up).collect()
    }

    /// Notes the asker as a member, and the members that it misses as down.
    pub(super) fn take_member(&self, request: &PullRequest) {
        let key = Key::Member(request.name.clone());
        let held = match lock(&self.directory).get(&key) {
            Some(Value::Member(member)) => Some(member.clone()),
            _ => None,
        };
        let mut member = request.member.clone();
        if let Some(held) = &held {
            let same = held.incarnation == member.incarnation && held.status == member.status;
            let refutes =
                held.incarnation != member.incarnation || held.status == MemberStatus::Down;
            member.revision = match (same, refutes) {
                (true, _) => held.revision,
                (_, true) => held.revision.max(member.revision - 1) + 1,
                _ => held.revision,
            };
        }
        if held.as_ref() != Some(&member) {
            self.put(key, Value::Member(member));
        }
        for (name, revision) in &request.missing {
            self.mark_down(name, *revision);
        }
    }

    /// A monitor misses a member.
    pub fn mark_down(&self, name: &CompactString, revision: u64) {
        let key = Key::Member(name.clone());
        let held = match lock(&self.directory).get(&key) {
            Some(Value::Member(member)) => member.clone(),
            _ => return,
        };
        if held.revision == revision && held.status == MemberStatus::Up {
            log::info!("member {name} is down: a monitor misses its heartbeats");
            self.put(
                key,
                Value::Member(Member {
                    status: MemberStatus::Down,
                    ..held
                }),
            );
        }
    }
}

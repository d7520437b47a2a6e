//! Versions of the configuration on the loop: what the store says is prepared and switched to, how
//! old that is decides whether clients are taken, and what was done under which version is noted.
//! The package `versions` decides; off where no operator's file has it.

pub mod activation;
pub mod audit;
pub mod cli;
pub mod collect;
pub mod scribe;

use crate::front::signals::NewSettings;
use crate::front::{Gatherer, Message};
use crate::net::{Connection, Context, Net, Ready, Token};
use crate::store::asks::Asker;
use ::recovery::bearing::Came;
use ::recovery::phase::Phase;
use dispatch::interface::Time;
use serde::Deserialize;
use serde_json::{Value as Json, json};
use std::io;
use std::path::PathBuf;
use std::time::Duration;
use store::member::{Call, Reply};
use store::packet::Change;
use versions::Version;
use versions::registration::Registration;
use versions::standing::{Account, Standing, Terms};
use versions::trail::{Entry, Ledger, Mark};

type Cx<'a> = Context<'a, Gatherer>;

/// What an operator's file says of versions.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionsSetup {
    /// Milliseconds after it last asked, with an answer, for which this gatherer acts on what it
    /// was told.
    #[serde(default = "validity_ms")]
    pub validity_ms: u64,
    /// Milliseconds for which answers have to come again before one that was shut out takes
    /// clients.
    #[serde(default = "steady_ms")]
    pub steady_ms: u64,
    /// The folder of its trail; without one nothing is noted.
    #[serde(default)]
    pub trail: Option<PathBuf>,
    /// Milliseconds between two notes of what was done.
    #[serde(default = "note_ms")]
    pub note_ms: u64,
    /// For tests: the trail's disk is full while there is such a file.
    #[serde(default)]
    pub test_full_while: Option<PathBuf>,
}

fn validity_ms() -> u64 {
    10_000
}

fn steady_ms() -> u64 {
    5_000
}

fn note_ms() -> u64 {
    10_000
}

/// The newest form of the document that this program reads: 1 has `settings`, as they stand in a
/// configuration, and `least`, the share of gatherers that goes on without a store.
pub const FORMAT: u64 = 1;

/// Keys of the store: the proposal, what is active, what was, and what is said of or by each
/// gatherer.
pub const NEXT: &str = "config/next";
/// What is active.
pub const ACTIVE: &str = "config/active";
/// What was active of late, by its proposal.
pub const PAST: &str = "config/past/";
/// That a proposal was ever active: the revision of its key is the version.
pub const WAS: &str = "config/was/";
/// Each gatherer's word on the proposal.
pub const WORD: &str = "config/word/";
/// Gatherers that an activation need not wait for.
pub const OUT: &str = "config/out/";
/// Gatherers that an operator has held back.
pub const HELD: &str = "config/held/";
/// What each gatherer is and runs.
pub const GATHERERS: &str = "gatherers/";
/// How far each gatherer's trail goes.
pub const TRAILS: &str = "trail/";

/// Makes of settings what they mean to this program, or says why they cannot be used.
pub type Prepare = Box<dyn Fn(&Json) -> Result<NewSettings, String>>;

/// Which version this gatherer acts on.
pub struct Versions {
    account: Account,
    name: String,
    life: u64,
    setup: VersionsSetup,
    prepare: Prepare,
    agent: Option<Token>,
    trail: Option<(Token, scribe::LastWord)>,
    ledger: Ledger,
    note_at: Time,
    /// The proposal and the version that it has had its say on.
    said: u64,
    tried: Version,
    /// Whether this process has its gatherer's name.
    registration: Registration,
}

impl Versions {
    /// Begins it; asks for what is active at once.
    pub fn begin(
        setup: VersionsSetup,
        name: String,
        life: u64,
        prepare: Prepare,
        net: &mut Net<Gatherer>,
    ) -> Versions {
        let ms = |count: u64| count.saturating_mul(1_000_000);
        let terms = Terms {
            validity: ms(setup.validity_ms),
            steady: ms(setup.steady_ms),
        };
        let now = net.now();
        let trail = setup.trail.as_ref().and_then(|folder| {
            match scribe::Scribe::open(folder, &name, setup.test_full_while.clone()) {
                Ok((scribe, last)) => Some((net.open(Box::new(scribe)), last)),
                Err(problem) => {
                    tracing::error!(folder = %folder.display(), %problem, "no trail is kept: its folder cannot be used");
                    None
                }
            }
        });
        let agent = Some(net.open(Box::new(Agent)));
        let note_at = now + ms(setup.note_ms);
        let versions = Versions {
            account: Account::new(terms, 0, false, now),
            name,
            life,
            setup,
            prepare,
            agent,
            trail,
            ledger: Ledger::default(),
            note_at,
            said: 0,
            tried: 0,
            registration: Registration::new(life),
        };
        let wall = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let wall = wall.map_or(0, |since| since.as_millis() as u64);
        let (name, validity) = (versions.name.clone(), terms.validity);
        versions.note(
            vec![(
                now,
                Mark::Began {
                    name,
                    life,
                    wall,
                    validity,
                },
            )],
            net,
        );
        versions
    }

    /// Whether a query may be taken at this very moment.
    pub fn may_act(&self, now: Time) -> bool {
        self.account.may_act(now)
    }

    /// How it stands.
    pub fn standing(&self) -> Standing {
        self.account.standing()
    }

    /// The version that it runs.
    pub fn runs(&self) -> Version {
        self.account.runs()
    }

    /// The object that keeps its trail.
    pub fn trail(&self) -> Option<Token> {
        self.trail.as_ref().map(|(token, _)| *token)
    }

    /// When its acts are noted next.
    pub fn due(&self) -> Option<Time> {
        self.trail.as_ref().map(|_| self.note_at)
    }

    /// What it says of itself to those who ask.
    pub fn line(&self, now: Time) -> Json {
        let left = self
            .account
            .valid_until()
            .map(|until| until.saturating_sub(now) / 1_000_000);
        json!({"runs": self.runs(), "standing": self.standing().to_string(), "held": self.account.is_held(),
               "valid_ms": left, "displaced": self.registration.is_displaced()})
    }

    fn note(&self, marks: Vec<(Time, Mark)>, net: &mut Net<Gatherer>) {
        if let Some(trail) = self.trail().filter(|_| !marks.is_empty()) {
            net.post(
                trail,
                Message::Noted(marks.into_iter().map(entry).collect()),
            );
        }
    }

    /// Notes what was done until the end, and that this life ended in order; waits so long for the
    /// disk at the most.
    pub fn finish(mut self, now: Time, patience: Duration) {
        let marks = self.counted(now);
        if let Some((_, last)) = &self.trail {
            let marks = marks.into_iter().chain([(now, Mark::Ended)]);
            last.say(marks.map(entry).collect(), patience);
        }
    }

    /// What was counted, behind the proof that it rests on.
    fn counted(&mut self, now: Time) -> Vec<(Time, Mark)> {
        let proof = self
            .account
            .told()
            .map(|(asked, version)| (now, Mark::Proved { asked, version }));
        let acts = self
            .ledger
            .take(now)
            .into_iter()
            .map(|entry| (entry.at, entry.mark));
        proof.into_iter().chain(acts).collect()
    }

    /// Makes of a document what it means to this program, or says why it cannot be used here.
    fn usable(&self, document: &Json) -> Result<NewSettings, String> {
        match document["format"].as_u64().unwrap_or(1) {
            format if format > FORMAT => Err(format!(
                "it is of format {format}, and this program reads up to {FORMAT}"
            )),
            _ => (self.prepare)(&document["settings"]),
        }
    }

    /// Notes an operator's call.
    pub fn called(&self, call: &str, now: Time, net: &mut Net<Gatherer>) {
        self.note(
            vec![(
                now,
                Mark::Called {
                    version: self.runs(),
                    call: call.to_owned(),
                },
            )],
            net,
        );
    }

    /// Notes what was counted; the proof that it rests on goes first.
    fn flush(&mut self, now: Time, net: &mut Net<Gatherer>) {
        self.note_at = now + self.setup.note_ms.saturating_mul(1_000_000);
        let marks = self.counted(now);
        self.note(marks, net);
    }

    /// Tells log and trail of each change of standing.
    fn tell_changes(&mut self, net: &mut Net<Gatherer>) {
        for change in self.account.take_changes() {
            let (from, to, version) = (change.from, change.to, self.runs());
            tracing::info!(%from, %to, version, "the version's standing has changed");
            self.note(vec![(change.at, Mark::Stands { standing: to })], net);
        }
    }
}

fn entry((at, mark): (Time, Mark)) -> Entry {
    Entry { at, mark }
}

impl Gatherer {
    /// What came of queries goes to whoever wants to know: the return, and the trail.
    pub fn note_ends(&mut self, net: &mut Net<Self>, now: Time) {
        let returning = self.returning.as_mut().map(|returning| returning.tell());
        let mut returning = returning.filter(|recovery| recovery.phase() == Phase::Returning);
        let ends = self
            .core
            .take_finished(returning.is_some() || self.versions.is_some());
        for end in ends {
            if let Some(recovery) = &mut returning {
                recovery.ended(end.arrived, Came::after(end.spent, end.complete), now);
            }
            if let Some(versions) = &mut self.versions {
                let class = self.core.class_name(end.class);
                versions
                    .ledger
                    .count(end.version, class, end.outcome, end.arrived);
            }
        }
        if let Some(versions) = self
            .versions
            .as_mut()
            .filter(|versions| now >= versions.note_at)
        {
            versions.flush(now, net);
        }
    }

    /// Takes every committed registration of this gatherer's name, in order.
    fn note_registrations(&mut self, changes: &[Change]) {
        let Some(versions) = &mut self.versions else {
            return;
        };
        let key = format!("{GATHERERS}{}", versions.name);
        let values = changes
            .iter()
            .filter(|change| change.key == key)
            .filter_map(|change| change.value.as_ref());
        let lives =
            values.filter_map(|value| serde_json::from_str::<Json>(value).ok()?["life"].as_u64());
        for life in lives {
            if versions.registration.committed(life) {
                tracing::error!(
                    name = versions.name,
                    "another process has taken this gatherer's name: this one takes no clients"
                );
            }
        }
    }

    /// Looks at what the store holds, and does what is due: switches, has its say on a proposal,
    /// takes an operator's word.
    fn look_at_versions(&mut self, net: &mut Net<Self>, now: Time) {
        let (Some(shelf), Some(versions)) = (&mut self.shelf, &mut self.versions) else {
            return;
        };
        let name = versions.name.clone();
        let state = shelf.store().state();
        let json = |key: &str| {
            let held = state.held(key)?;
            Some((
                held.revision,
                serde_json::from_str::<Json>(&held.value).ok()?,
            ))
        };
        let active = json(ACTIVE);
        let (next, held) = (json(NEXT), state.get(&format!("{HELD}{name}")).is_some());
        let mut wants: Vec<(String, Json)> = Vec::new();
        versions
            .account
            .hold(held || versions.registration.is_displaced(), now);
        if let Some((proposal, document)) = next.filter(|(proposal, _)| *proposal > versions.said) {
            versions.said = proposal;
            let cannot = versions.usable(&document).err();
            tracing::info!(proposal, cannot, "a version is proposed");
            let word = json!({"to": proposal, "life": versions.life, "cannot": cannot});
            wants.push((format!("{WORD}{name}"), word));
        }
        let tried = versions.tried;
        if let Some((version, document)) = active.filter(|(version, _)| *version != tried) {
            self.switch(version, &document, net, now);
        }
        let (Some(shelf), Some(versions)) = (&mut self.shelf, &mut self.versions) else {
            return;
        };
        let own = json!({"life": versions.life, "runs": versions.runs(), "program": env!("CARGO_PKG_VERSION"),
                         "validity_ms": versions.setup.validity_ms, "reads": FORMAT});
        if !versions.registration.is_displaced() {
            wants.push((format!("{GATHERERS}{name}"), own));
        }
        wants
            .into_iter()
            .for_each(|(key, value)| shelf.want(&key, &value.to_string(), net));
        versions.tell_changes(net);
    }
}

impl Gatherer {
    /// Switches to an active version, if it can be used.
    fn switch(&mut self, version: Version, document: &Json, net: &mut Net<Self>, now: Time) {
        let Some(versions) = &mut self.versions else {
            return;
        };
        versions.tried = version;
        let name = versions.name.clone();
        let keeper = document["keepers"]
            .as_array()
            .is_some_and(|all| all.iter().any(|one| *one == *name));
        // What was done so far was done under the former one.
        self.note_ends(net, now);
        let Some(versions) = &mut self.versions else {
            return;
        };
        versions.flush(now, net);
        let fresh = versions.usable(document);
        match fresh.and_then(|fresh| self.reconfigure(fresh, now)) {
            Ok(()) => {
                self.core.set_version(version);
                let Some(versions) = &mut self.versions else {
                    return;
                };
                versions.account.switched(version, keeper, now);
                tracing::info!(version, keeper, "switched");
                versions.note(vec![(now, Mark::Runs { version, keeper })], net);
            }
            Err(problem) => {
                tracing::error!(
                    version,
                    problem,
                    "the active version cannot be used: this gatherer is left behind"
                );
            }
        }
    }
}

/// Asks the store which version is active, again and again, and does what follows.
struct Agent;

impl Agent {
    fn go_on(&self, cx: &mut Cx<'_>) {
        let now = cx.net.now();
        let (Some(shelf), Some(versions)) = (&mut cx.world.shelf, &mut cx.world.versions) else {
            return;
        };
        versions.account.settle(now);
        if versions.account.asks(now) {
            let patience = versions.setup.validity_ms.saturating_mul(1_000_000) / 4;
            shelf.ask(Call::Read, Asker::Own(cx.token), patience, cx.net);
        }
        versions.tell_changes(cx.net);
        let due = versions.account.due();
        cx.set_timer(due.max(now + 1_000_000));
    }
}

impl Connection<Gatherer> for Agent {
    fn opened(&mut self, cx: &mut Cx<'_>) -> io::Result<()> {
        cx.set_timer(cx.now);
        Ok(())
    }

    fn ready(&mut self, _cx: &mut Cx<'_>, _ready: Ready) {}

    fn deliver(&mut self, cx: &mut Cx<'_>, message: Message) {
        match message {
            Message::StoreChanged(changes) => {
                cx.world.note_registrations(&changes);
                cx.world.look_at_versions(cx.net, cx.now);
            }
            Message::Replied(Reply::Read(_)) => {
                // What this member holds is now as new as anything told before the question.
                cx.world.look_at_versions(cx.net, cx.now);
                let state = cx.world.shelf.as_ref().map(|shelf| shelf.store().state());
                let active = state
                    .and_then(|state| state.held(ACTIVE))
                    .map_or(0, |held| held.revision);
                let now = cx.net.now();
                if let Some(versions) = &mut cx.world.versions {
                    let out = state.is_some_and(|state| {
                        state.get(&format!("{OUT}{}", versions.name)).is_some()
                    });
                    if out {
                        versions.account.left_out(now);
                    } else {
                        versions.account.answered(active, now);
                    }
                }
            }
            Message::Replied(_) => {
                let now = cx.net.now();
                if let Some(versions) = &mut cx.world.versions {
                    versions.account.unanswered(now);
                }
            }
            _ => return,
        }
        self.go_on(cx);
    }

    fn timer(&mut self, cx: &mut Cx<'_>) {
        self.go_on(cx);
    }
}

/// Has the store's news told to the agent, and takes what the member's own file says was active: an
/// old version is not served under without the store's word or, by one that goes on without, before
/// a whole validity has passed without any.
pub fn connect(gatherer: &mut Gatherer, net: &mut Net<Gatherer>) {
    let now = net.now();
    let (Some(shelf), Some(versions)) = (&mut gatherer.shelf, &mut gatherer.versions) else {
        return;
    };
    if let Some(agent) = versions.agent {
        shelf.tell_of(
            vec![
                "config/".to_owned(),
                format!("{GATHERERS}{}", versions.name),
            ],
            agent,
        );
    }
    let store = shelf.store();
    let known = store.foreseen(ACTIVE);
    let known =
        known.and_then(|(version, text)| Some((version, serde_json::from_str::<Json>(text).ok()?)));
    match known {
        Some((version, document)) => gatherer.switch(version, &document, net, now),
        // Where nothing was ever active each goes by its own file, and nobody can be left out. A
        // member that has lost its file does not know that.
        None => {
            let keeper = store.standing() != store::rejoin::Standing::Lost;
            versions.account.switched(0, keeper, now);
            versions.note(vec![(now, Mark::Runs { version: 0, keeper })], net);
        }
    }
}

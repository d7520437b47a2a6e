//! Signals as descriptors of the loop: SIGTERM and SIGINT end the program, SIGHUP has it read its
//! file again.

use super::hosts::Connector;
use super::platform::discovery::{Names, read_list};
use super::{Gatherer, Message};
use crate::core::settings::Deployment;
use crate::limits::Limits;
use crate::net::{Connection, Context, Ready};
use dispatch::interface::{ListKind, Settings};
use serde_json::Value as Json;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::error::Error;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::rc::Rc;

type Cx<'a> = Context<'a, Gatherer>;

/// The reading end of a pair into which some signals write a byte.
struct Signals {
    socket: UnixStream,
}

impl Signals {
    fn install(signals: &[i32]) -> io::Result<Self> {
        let (socket, tell) = UnixStream::pair()?;
        socket.set_nonblocking(true)?;
        tell.set_nonblocking(true)?;
        for signal in signals {
            signal_hook::low_level::pipe::register(*signal, tell.try_clone()?)?;
        }
        Ok(Signals { socket })
    }

    fn watch(&self, cx: &Cx<'_>) -> io::Result<()> {
        cx.net.register(&self.socket, cx.token, Ready::READ)
    }

    /// Drops the bytes; several signals at once count as one.
    fn drain(&mut self) {
        let _ = self.socket.read(&mut [0; 64]);
    }
}

/// Begins the graceful shutdown on SIGTERM and SIGINT.
pub struct ShutdownSignal(Signals);

impl ShutdownSignal {
    /// Installs the handlers.
    pub fn install() -> io::Result<Self> {
        Ok(ShutdownSignal(Signals::install(&[SIGTERM, SIGINT])?))
    }
}

impl Connection<Gatherer> for ShutdownSignal {
    fn opened(&mut self, cx: &mut Cx<'_>) -> io::Result<()> {
        self.0.watch(cx)
    }

    fn ready(&mut self, cx: &mut Cx<'_>, _ready: Ready) {
        self.0.drain();
        cx.world.begin_shutdown(cx.net, cx.now);
    }

    fn deliver(&mut self, _cx: &mut Cx<'_>, _message: Message) {}

    fn timer(&mut self, _cx: &mut Cx<'_>) {}
}

/// The configuration file as it is now, as far as it takes effect without a restart.
pub struct ReloadedConfig {
    /// Where discovery listens.
    pub discovery: Option<SocketAddr>,
    /// Where there is no discovery: the list of index hosts, in its form.
    pub members: Json,
    /// The settings and what follows from them, where these can change in service.
    pub settings: Option<NewSettings>,
}

/// Settings, and what follows from them.
pub struct NewSettings {
    /// The dispatcher's.
    pub settings: Settings,
    /// The program's own.
    pub deployment: Deployment,
    /// The limits that follow from them.
    pub limits: Rc<Limits>,
    /// The connector for these limits.
    pub connector: Box<dyn Connector>,
}

/// Reads the file again.
pub type ConfigReader = Box<dyn Fn() -> Result<ReloadedConfig, Box<dyn Error>>>;

/// Reads the configuration file again on SIGHUP, which without a handler would end the program.
pub struct ReloadSignal {
    signals: Signals,
    read: ConfigReader,
    names: Names,
}

impl ReloadSignal {
    /// Installs the handler.
    pub fn install(read: ConfigReader, names: Names) -> io::Result<Self> {
        Ok(ReloadSignal {
            signals: Signals::install(&[SIGHUP])?,
            read,
            names,
        })
    }

    fn reload(&mut self, cx: &mut Cx<'_>) -> Result<(), Box<dyn Error>> {
        let ReloadedConfig {
            discovery,
            members,
            settings,
        } = (self.read)()?;
        let mut names = self.names.clone();
        let members = match (discovery, cx.world.directory) {
            (Some(_), Some(_)) => Vec::new(),
            (None, None) => read_list(&members, &mut names)?.2,
            _ => return Err("with and without discovery: this takes a restart".into()),
        };
        // All that could fail has been read by now: the file takes effect completely, or not at
        // all.
        match settings {
            // The version that the store has activated takes precedence over one gatherer's file.
            Some(_)
                if cx
                    .world
                    .versions
                    .as_ref()
                    .is_some_and(|versions| versions.running() != 0) =>
            {
                tracing::warn!(
                    "the file's settings are not taken: the store's version is in force"
                );
            }
            Some(fresh) => cx.world.reconfigure(fresh, cx.now)?,
            None => {}
        }
        self.names = names;
        match (discovery, cx.world.directory) {
            (Some(to), Some(directory)) => cx.net.post(directory, Message::EndpointMoved(to)),
            _ => {
                let entries = cx
                    .world
                    .hosts
                    .update(ListKind::Complete, members, cx.net, cx.now);
                cx.world.core.update_endpoints(ListKind::Complete, entries);
                cx.world.record_members(cx.net);
            }
        }
        Ok(())
    }
}

impl Connection<Gatherer> for ReloadSignal {
    fn opened(&mut self, cx: &mut Cx<'_>) -> io::Result<()> {
        self.signals.watch(cx)
    }

    fn ready(&mut self, cx: &mut Cx<'_>, _ready: Ready) {
        self.signals.drain();
        match self.reload(cx) {
            Ok(()) => tracing::info!("the configuration was read again"),
            // Whatever was in force stays so: a half-written file must not end the service.
            Err(problem) => tracing::warn!(%problem, "the configuration stays as it was"),
        }
    }

    fn deliver(&mut self, _cx: &mut Cx<'_>, _message: Message) {}

    fn timer(&mut self, _cx: &mut Cx<'_>) {}
}

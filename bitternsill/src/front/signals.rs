//! Signal handling in the event loop: SIGTERM and SIGINT start the shutdown, SIGHUP reloads the
//! configuration file.

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

/// The reading end of a socket pair to which the signal handlers write a byte.
struct Signals {
    socket: UnixStream,
}

impl Signals {
    fn install(signals: &[i32]) -> io::Result<Self> {
        let (socket, writer) = UnixStream::pair()?;
        socket.set_nonblocking(true)?;
        writer.set_nonblocking(true)?;
        for signal in signals {
            signal_hook::low_level::pipe::register(*signal, writer.try_clone()?)?;
        }
        Ok(Signals { socket })
    }

    fn watch(&self, cx: &Cx<'_>) -> io::Result<()> {
        cx.net.register(&self.socket, cx.token, Ready::READ)
    }

    /// Discards the bytes; several signals at once count as one.
    fn drain(&mut self) {
        let _ = self.socket.read(&mut [0; 64]);
    }
}

/// Starts the graceful shutdown on SIGTERM and SIGINT.
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

/// The part of the configuration file that can change without a restart.
pub struct ReloadedConfig {
    /// The address of discovery.
    pub discovery: Option<SocketAddr>,
    /// The list of index hosts in the form of discovery, for deployments without discovery.
    pub members: Json,
    /// The settings and what is derived from them, if they can change at run time.
    pub settings: Option<NewSettings>,
}

/// Settings, and what is derived from them.
pub struct NewSettings {
    /// The dispatcher's settings.
    pub settings: Settings,
    /// The program's own settings.
    pub deployment: Deployment,
    /// The limits derived from the settings.
    pub limits: Rc<Limits>,
    /// The connector for these limits.
    pub connector: Box<dyn Connector>,
}

/// Reads the configuration file.
pub type ConfigReader = Box<dyn Fn() -> Result<ReloadedConfig, Box<dyn Error>>>;

/// Reloads the configuration file on SIGHUP, which without a handler would end the process.
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
            _ => return Err("adding or removing discovery requires a restart".into()),
        };
        // The file must take effect completely or not at all. `reconfigure` is the last step that
        // can fail, and changes nothing if it does.
        match settings {
            // The version activated in the store takes precedence over the file of one gatherer.
            Some(_)
                if cx
                    .world
                    .versions
                    .as_ref()
                    .is_some_and(|versions| versions.running() != 0) =>
            {
                tracing::warn!(
                    "settings in the file ignored: the version from the store is in use"
                );
            }
            Some(new) => cx.world.reconfigure(new, cx.now)?,
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
            Ok(()) => tracing::info!("configuration reloaded"),
            // Keep the former configuration: a half-written file must not interrupt the service.
            Err(problem) => tracing::warn!(%problem, "configuration not reloaded"),
        }
    }

    fn deliver(&mut self, _cx: &mut Cx<'_>, _message: Message) {}

    fn timer(&mut self, _cx: &mut Cx<'_>) {}
}

//! Puts the parts together and runs the loop.

use crate::config::{Config, ConfigError};
use crate::core::{Core, settings};
use crate::front::clients::ClientTable;
use crate::front::hosts::HostTable;
use crate::front::platform::client::{Client, Listener};
use crate::front::platform::discovery::{Discovery, Names, read_list};
use crate::front::platform::link::FrameConnector;
use crate::front::signals::Signals;
use crate::front::{Gatherer, Phase};
use crate::limits::Limits;
use crate::net::{self, Clock, Reactor};
use bramblestair::interface::ListKind;
use std::rc::Rc;

/// Serves the platform until SIGTERM.
pub fn serve(config: Config) -> Result<(), Box<dyn std::error::Error>> {
    let (settings, deployment) = settings::read(&config.settings).map_err(ConfigError::Settings)?;
    let mut limits = Limits::default().with_descriptors(config.sockets);
    limits.calls_per_connection = deployment.calls_per_connection;
    limits.shards = deployment.shards;
    limits.connect = deployment.connect.unwrap_or(limits.connect);
    limits.drain_grace = deployment.drain_grace.unwrap_or(limits.drain_grace);
    if let Some(idle) = deployment.host_idle {
        limits = limits.with_host_idle(idle);
    }
    let limits = Rc::new(limits);
    let clock = Clock::new();
    let mut names = Names { zones: deployment.zones.clone(), kinds: deployment.kinds.clone() };
    let listener = net::listen(config.listen)?;
    let connector = FrameConnector { limits: limits.clone() };
    let gatherer = Gatherer {
        core: Core::new(settings, deployment, limits.clone(), config.seed),
        hosts: HostTable::new(Box::new(connector), limits.clone()),
        clients: ClientTable::default(),
        limits: limits.clone(),
        phase: Phase::Serving,
        directory: None,
        ready_by: Some(clock.now() + limits.first_list),
        listeners: Vec::new(),
    };
    let mut reactor = Reactor::new(gatherer, clock)?;
    let (net, gatherer) = reactor.parts();
    let now = clock.now();
    // The list from before the start may be old, or absent: then the module starts from an empty one.
    let known = read_list(&config.known, &mut names);
    let (version, members) = match known {
        Ok((version, _, members)) => (Some(version), members),
        Err(_) => (None, Vec::new()),
    };
    let entries = gatherer.hosts.update(ListKind::Persisted, members, net, now);
    gatherer.core.list(ListKind::Persisted, entries);
    gatherer.directory = Some(net.open(Box::new(Discovery::new(config.discovery, names, version))));
    net.open(Box::new(Signals::install()?));
    let token = net.open(Box::new(Listener::new(listener, Client::accept)));
    gatherer.listeners.push(token);
    tracing::info!(name = config.name, listen = %config.listen, "serving");
    reactor.run()?;
    tracing::info!("ended");
    Ok(())
}

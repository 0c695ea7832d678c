//! Restarts servers of a test site under the same ids.

use super::incarnation_switch::IncarnationSwitch;
use super::{EngineSoftware, RestartAddress, SiteEngine, SiteServer, TestSite};
use crate::{Error, Result};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Start time of the first restarted server of a site in Unix milliseconds, and how much later each further
/// restart is.
const FIRST_RESTART_MS: u64 = 1_700_000_000_000;
const RESTART_STEP_MS: u64 = 1000;

impl TestSite {
    /// Restarts a server of this site under the same id, which breaks its connections, and writes its new entry.
    /// Returns the start time of the new incarnation.
    ///
    /// # Errors
    /// If no port can be bound, or there is no such server.
    pub async fn restart(&self, id: &str, restart_address: RestartAddress) -> Result<u64> {
        let (started_at, address) = self.begin_incarnation(id, restart_address).await?;
        self.add_source(id, address);
        self.write_incarnation_entry(id, address)?;
        Ok(started_at)
    }

    /// Restarts a server of this site under the same id without writing its entry. Returns the start time and
    /// the address of the new incarnation.
    ///
    /// # Errors
    /// If no port can be bound, or there is no such server.
    pub async fn begin_incarnation(
        &self,
        id: &str,
        restart_address: RestartAddress,
    ) -> Result<(u64, SocketAddr)> {
        let started_at =
            FIRST_RESTART_MS + self.restarts.fetch_add(1, Ordering::Relaxed) * RESTART_STEP_MS;
        let address = if let Some(engine) = self.engine(id) {
            engine.restart(started_at, restart_address).await?
        } else {
            let service = self.services.iter().find(|service| service.id == id);
            service.ok_or_else(|| unknown_server(id))?.restart(started_at, restart_address).await?
        };
        Ok((started_at, address))
    }

    /// Replaces an engine of this site by one with another software version at the same address. Running streams are
    /// cut, as at the end of a drain that was too short.
    ///
    /// # Errors
    /// If no port can be bound, or there is no such engine.
    pub async fn replace_software(&self, id: &str, version: &str) -> Result<()> {
        let engine = self.engine(id).ok_or_else(|| unknown_server(id))?;
        let former = engine.software().instance;
        engine.replace_software(version);
        self.store.change(|objects| objects.remove("servers", &former));
        let (_, address) = self.begin_incarnation(id, RestartAddress::Same).await?;
        self.write_incarnation_entry(id, address)
    }

    /// The software of a server of this site.
    pub(super) fn software(&self, id: &str) -> EngineSoftware {
        self.engine(id).map_or_else(|| EngineSoftware::first(id), |engine| engine.software())
    }

    /// Waits until a server of this site has crashed.
    ///
    /// # Errors
    /// If there is no such server.
    pub async fn crashed(&self, id: &str) -> Result<()> {
        self.incarnation_switch(id)?.crashed().await;
        Ok(())
    }

    /// Ids of the requests that crashed servers of this site.
    pub fn crashes(&self) -> Vec<String> {
        let incarnation_switches =
            self.servers.iter().filter_map(|server| self.incarnation_switch(&server.id).ok());
        incarnation_switches.flat_map(IncarnationSwitch::crashes).collect()
    }

    /// The incarnation switch of a server of this site.
    pub(in crate::bench) fn incarnation_switch(&self, id: &str) -> Result<&IncarnationSwitch> {
        if let Some(engine) = self.engine(id) {
            return Ok(engine.incarnation_switch());
        }
        let service = self.services.iter().find(|service| service.id == id);
        Ok(service.ok_or_else(|| unknown_server(id))?.incarnation_switch())
    }

    /// Writes the entry of a server's current incarnation, which listens at `address`.
    ///
    /// # Errors
    /// If there is no such server.
    pub fn write_incarnation_entry(&self, id: &str, address: SocketAddr) -> Result<()> {
        let service = self.server(id)?.service;
        let stage = self.engine(id).map(|engine| engine.stage());
        self.write_entry(id, service, address, stage.as_deref(), "ready");
        Ok(())
    }

    fn server(&self, id: &str) -> Result<&SiteServer> {
        let server = self.servers.iter().find(|server| server.id == id);
        server.ok_or_else(|| unknown_server(id))
    }

    fn engine(&self, id: &str) -> Option<&Arc<SiteEngine>> {
        self.prefills.iter().chain(&self.decodes).find(|engine| engine.id == id)
    }

    /// Start time of a server's current incarnation in Unix milliseconds, if it reports one.
    pub(super) fn started_at(&self, id: &str) -> Option<u64> {
        if let Some(engine) = self.engine(id) {
            return engine.started_at();
        }
        self.services.iter().find(|service| service.id == id)?.started_at()
    }

    /// Lets the decode engines fetch results of a prefill engine at `address`; does nothing for other servers.
    fn add_source(&self, id: &str, address: SocketAddr) {
        if let Some(engine) = self.prefills.iter().find(|engine| engine.id == id) {
            for decode in &self.decodes {
                decode.add_source(address, engine);
            }
        }
    }
}

fn unknown_server(id: &str) -> Error {
    Error::Refused(format!("there is no server {id}"))
}

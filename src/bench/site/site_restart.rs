//! Starts servers of a site again under the ids that they had.

use super::incarnation_switch::IncarnationSwitch;
use super::{RestartAddress, SiteEngine, SiteServer, TestSite};
use crate::{Error, Result};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Unix milliseconds: when the first restarted server of a site begins its life, and how much later each
/// further one does.
const FIRST_RESTART: u64 = 1_700_000_000_000;
const RESTART_GAP: u64 = 1000;

impl TestSite {
    /// Starts a server of this site again under its id, which crashes it first, and writes its new entry;
    /// returns when its new life began.
    ///
    /// # Errors
    /// If no port can be bound, or there is no such server.
    pub async fn restart(&self, id: &str, place: RestartAddress) -> Result<u64> {
        let (born, address) = self.begin_incarnation(id, place).await?;
        self.add_source(id, address);
        self.write_incarnation_entry(id, address)?;
        Ok(born)
    }

    /// Starts a server of this site again under its id, and says so to nobody; returns when its new life
    /// began and where it listens.
    ///
    /// # Errors
    /// If no port can be bound, or there is no such server.
    pub async fn begin_incarnation(
        &self,
        id: &str,
        place: RestartAddress,
    ) -> Result<(u64, SocketAddr)> {
        let born = FIRST_RESTART + self.restarts.fetch_add(1, Ordering::Relaxed) * RESTART_GAP;
        let address = if let Some(engine) = self.engine(id) {
            engine.restart(born, place).await?
        } else {
            let service = self.services.iter().find(|service| service.id == id);
            service.ok_or_else(|| unknown_server(id))?.restart(born, place).await?
        };
        Ok((born, address))
    }

    /// Waits until a server of this site has crashed.
    ///
    /// # Errors
    /// If there is no such server.
    pub async fn crashed(&self, id: &str) -> Result<()> {
        self.incarnation_switch(id)?.crashed().await;
        Ok(())
    }

    /// Requests under which servers of this site crashed.
    pub fn crashes(&self) -> Vec<String> {
        let switches =
            self.servers.iter().filter_map(|server| self.incarnation_switch(&server.id).ok());
        switches.flat_map(IncarnationSwitch::crashes).collect()
    }

    /// The lives of a server of this site.
    pub(in crate::bench) fn incarnation_switch(&self, id: &str) -> Result<&IncarnationSwitch> {
        if let Some(engine) = self.engine(id) {
            return Ok(engine.incarnation_switch());
        }
        let service = self.services.iter().find(|service| service.id == id);
        Ok(service.ok_or_else(|| unknown_server(id))?.incarnation_switch())
    }

    /// Writes the entry of a server's present life, which is reached at `address`.
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

    /// When the present life of a server began, if it says so.
    pub(super) fn started_at(&self, id: &str) -> Option<u64> {
        if let Some(engine) = self.engine(id) {
            return engine.started_at();
        }
        self.services.iter().find(|service| service.id == id)?.started_at()
    }

    /// Decode engines reach a prefill engine at `address`.
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

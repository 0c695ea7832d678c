use super::field_reader::FieldReader;

/// Which decisions about load are switched on. All are off unless the settings name them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LoadFeatures {
    /// Hosts share what they observe of the health of backend servers.
    pub shared_health: bool,
    /// Urgent requests and organisations below their share come first while decode memory is short.
    pub admission: bool,
    /// An urgent request that found no memory in the whole pool is sent without a hold, and preempts less urgent runs.
    pub urgent_preempts: bool,
    /// Refused callers get retry delays that are planned over all hosts.
    pub return_times: bool,
    /// Memory is reserved for what answers are expected to need, and the pace of each server is known.
    pub memory_forecast: bool,
    /// Places at small plain services are granted by one host while they are scarce.
    pub server_slots: bool,
    /// The host that holds the lease for stage orders stays the leader.
    pub steady_pools: bool,
}

impl LoadFeatures {
    /// All decisions that the platform's settings switch on.
    pub const ALL: Self = Self {
        shared_health: true,
        admission: true,
        urgent_preempts: false,
        return_times: true,
        memory_forecast: true,
        server_slots: true,
        steady_pools: true,
    };

    /// The names and values of the settings that [`Self::ALL`] switches on.
    pub fn settings(self) -> [(&'static str, bool); 6] {
        [
            ("shared_health", self.shared_health),
            ("admission", self.admission),
            ("return_times", self.return_times),
            ("memory_forecast", self.memory_forecast),
            ("server_slots", self.server_slots),
            ("steady_pools", self.steady_pools),
        ]
    }

    /// Reads the features from the settings.
    pub(super) fn read(reader: &mut FieldReader<'_, '_>) -> Self {
        Self {
            shared_health: reader.flag("shared_health", false),
            admission: reader.flag("admission", false),
            urgent_preempts: reader.flag("urgent_preempts", false),
            return_times: reader.flag("return_times", false),
            memory_forecast: reader.flag("memory_forecast", false),
            server_slots: reader.flag("server_slots", false),
            steady_pools: reader.flag("steady_pools", false),
        }
    }
}

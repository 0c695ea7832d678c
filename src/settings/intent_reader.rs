use super::SourceText;
use super::field_reader::{FieldReader, read_object};
use crate::intents::{
    ClassSpec, IntentSpec, ModelSpec, OrgSpec, RoleChange, ServerRole, ServerSpec, ServiceSpec,
};
use crate::{Error, Result};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

/// Placeholder for an address that is missing or invalid; the finding about it makes the read fail.
const PLACEHOLDER_ADDRESS: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0));

impl TryFrom<&SourceText> for IntentSpec {
    type Error = Error;

    fn try_from(source: &SourceText) -> Result<Self> {
        read_object(source, "intent", |reader| Self {
            operator: reader.string("operator"),
            models: reader.objects("models", read_model),
            join: reader.objects("join", read_server),
            leave: reader.strings("leave"),
            role: reader.objects("role", read_role_change),
            services: reader.objects("services", read_service),
            classes: reader.objects("classes", read_class),
            organisations: reader
                .objects("organisations", |org| OrgSpec { name: org.string("name") }),
        })
    }
}

fn read_model(reader: &mut FieldReader<'_, '_>) -> ModelSpec {
    ModelSpec {
        name: reader.string("name"),
        version: reader.string("version"),
        adapters: reader.strings("adapters"),
        weight_bytes: reader.number("weight_bytes", 0..=1 << 50, Some(0)),
        kv_bytes_per_token: reader.number("kv_bytes_per_token", 1..=1 << 30, None),
    }
}

fn read_server(reader: &mut FieldReader<'_, '_>) -> ServerSpec {
    let prefill_rate = reader.number("prefill_tokens_per_second", 1..=100_000_000, Some(2000));
    ServerSpec {
        name: reader.string("name"),
        domain: reader.string("domain"),
        address: reader.parsed("address", "an IP address with port", PLACEHOLDER_ADDRESS),
        role: reader.parsed("role", "\"prefill\" or \"decode\"", ServerRole::Prefill),
        models: reader.strings("models"),
        slots: reader.number("slots", 1..=100_000, Some(20)) as u32,
        prefill_tokens_per_second: prefill_rate as u32,
        link_bytes_per_second: reader.number("link_bytes_per_second", 1..=1 << 50, Some(1 << 32)),
        checks_fence: reader.flag("checks_fence", false),
        leaving: false,
    }
}

fn read_role_change(reader: &mut FieldReader<'_, '_>) -> RoleChange {
    RoleChange {
        server: reader.string("server"),
        role: reader.parsed("role", "\"prefill\" or \"decode\"", ServerRole::Prefill),
    }
}

fn read_service(reader: &mut FieldReader<'_, '_>) -> ServiceSpec {
    ServiceSpec {
        name: reader.string("name"),
        addresses: reader.parsed_list("addresses", "IP addresses with port"),
        once_paths: reader.strings("once_paths"),
    }
}

fn read_class(reader: &mut FieldReader<'_, '_>) -> ClassSpec {
    ClassSpec {
        name: reader.string("name"),
        first_token_ms: reader.number("first_token_ms", 1..=600_000, None),
        between_tokens_ms: reader.number("between_tokens_ms", 1..=600_000, None),
    }
}

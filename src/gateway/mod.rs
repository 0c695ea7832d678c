//! The gateway daemon that runs on the users' platform: connects the decision modules with the network.
//!
//! The path of a request: `caller_loop` reads it, `call_route` finds its service, `caller_auth` authorizes
//! its caller, `limit_charge` charges its organisation, and `plain_call` or `engine_call` runs it.
//! `run_open` opens a run at engines: `decode_reservation` reserves memory, `prompt_read` processes the prompt,
//! and `run_start` starts the run; `event_relay` then relays the stream. While the server of a run is silent, `silent_run`
//! opens another one beside it.

mod age_loop;
mod call_context;
mod call_end;
mod call_log;
mod call_route;
mod caller_auth;
mod caller_body;
mod caller_loop;
mod crash_store;
mod crash_updates;
mod crash_watch;
mod decode_reservation;
mod engine_call;
mod engine_resource;
mod event_reader;
mod event_relay;
mod first_event;
mod gateway_host;
mod gateway_start;
mod gateway_state;
mod health_reports;
mod hold_forecast;
mod host_account;
mod host_rooms;
mod limit_answers;
mod limit_charge;
mod limit_gossip;
mod limit_grants;
mod limit_shares;
mod load_guard;
mod load_updates;
mod memory_admission;
mod memory_guard;
mod origin_calls;
mod origin_upkeep;
mod pace_updates;
mod peer_loop;
mod peer_messages;
mod pending_replies;
mod pending_run;
mod place_guard;
mod plain_attempt;
mod plain_call;
mod pressure_updates;
mod prompt_read;
mod ready_server;
mod relay_record;
mod request_body;
mod retry_grants;
mod return_updates;
mod role_log;
mod run_hearing;
mod run_marks;
mod run_open;
mod run_send;
mod run_start;
mod send_budget;
mod send_owner;
mod send_permit;
mod server_call;
mod server_dial;
mod server_ranking;
mod server_restarts;
mod silent_log;
mod silent_run;
mod slot_messages;
mod stage_loop;
mod stage_orders;
mod stop_admission;
mod stop_phase;
mod stop_plan;
mod store_contact;
mod stream_end;
mod stream_log;
mod tunnel_relay;
mod unreadable_objects;
mod version_store;
mod view_lag;
mod view_loop;
mod view_servers;
mod view_source;
mod view_spread;
mod view_store;

pub use gateway_host::GatewayHost;
pub use gateway_start::{Gateway, start_gateway};
pub use gateway_state::GatewayState;
pub use host_rooms::HostRooms;
pub use stop_phase::StopPhase;
pub use stop_plan::StopPlan;
pub use unreadable_objects::UnreadableObjects;

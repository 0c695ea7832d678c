//! The HTTP interface for operators, served with `rouille` on a port of its own.

mod operator_server;

pub use operator_server::serve_operators;

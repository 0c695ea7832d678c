/// The pace of each server.
#[derive(Debug, Default)]
pub struct PaceTable {}

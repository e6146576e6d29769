//! Runs of the client as a process against small servers.

mod commands;
mod failover;
mod support;

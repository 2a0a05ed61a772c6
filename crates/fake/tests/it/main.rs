//! Tests of the stand-ins, mostly over their HTTP interfaces.

mod cache;
mod client;
mod engine;
mod fault;
mod order;
mod platform;

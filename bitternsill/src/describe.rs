//! Descriptions of the program's interfaces, generated from the tables that requests are routed by.

pub mod asyncapi;
pub mod fit;
pub mod openapi;

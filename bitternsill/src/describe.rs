//! Descriptions of the program's surfaces, made from the tables that the code routes by.

pub mod asyncapi;
pub mod fit;
pub mod openapi;

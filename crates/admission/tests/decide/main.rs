mod golden;
mod plain;
mod rules;
mod world;

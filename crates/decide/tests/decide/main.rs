mod plain;
mod rules;
mod world;

package pinewick.registry;

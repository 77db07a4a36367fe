package pinewick.lab;

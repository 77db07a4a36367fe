package pinewick.standins;

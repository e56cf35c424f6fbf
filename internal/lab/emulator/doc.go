// Package emulator puts HTTP/1.1 in front of the models of package model, on
// loopback addresses and the wall clock, for nodes that are real processes.
//
// A [Server] emulates one server process and a [Registry] emulates discovery;
// hundreds of them fit into one process of the operating system. The models
// decide what they do and when. This package adds the sockets, including what
// TCP shows of a process that ends or a machine that vanishes.
package emulator

// Package emulator serves the models of package model over HTTP/1.1, on
// loopback addresses and in real time, for nodes that run as real processes.
//
// A [Server] emulates one server process and a [Registry] emulates discovery;
// hundreds of them fit into one operating-system process. The models decide how
// each request ends and when. This package adds the sockets, including what a
// TCP peer sees when a process ends or a machine drops off the network.
package emulator

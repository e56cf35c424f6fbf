// Package model holds the models of what a node talks to: servers and
// discovery. They are pure: no I/O, clock, goroutine or global randomness, so
// that the same code serves hollow runs on a virtual clock and real ones, where
// package emulator puts HTTP in front of them.
//
// A model is a state machine in time. Its caller reports what happens together
// with the time of it, which never goes back, and takes the results from
// Advance at the time that Next returns:
//
//	for {
//		at, ok := s.Next()
//		if !ok || at > now {
//			break
//		}
//		for _, reply := range s.Advance(at) { ... }
//	}
//
// Every other call may change Next; a caller with an event queue reads it again
// after each call. Advance may also be called late: it then returns all that
// happened meanwhile, in order and with the times at which it happened. The
// same calls with the same source of randomness give the same results.
//
// All times are since the start of the run. Nothing but KeyStore is safe for
// concurrent use.
//
// The rules come from the pages on the wire and on the protocol; the crash of
// a server overloaded while it warms up follows the page of the standing test.
package model

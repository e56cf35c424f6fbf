// Package model holds the models of what a node talks to: servers and
// discovery. The models are pure: they have no I/O, clock, goroutine or global
// randomness, so the same code serves runs with hollow nodes on a virtual clock
// and runs with real processes, where package emulator serves them over HTTP.
//
// A model is a state machine driven by time. Its caller passes each event with
// the time of the event, which never decreases, and takes the results from
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
// Every other call may change the result of Next; a caller with an event queue
// calls Next again after each of them. Advance may also be called late: it then
// returns all results up to its time, in order and with the times at which they
// occurred. The same calls with the same source of randomness give the same
// results.
//
// All times count from the start of the run. Only KeyStore is safe for
// concurrent use.
//
// The models follow the specifications of the wire format and of the discovery
// protocol. The rule by which a server overloaded during its warm-up crashes
// follows the specification of the standing test.
package model

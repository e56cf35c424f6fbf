// Package discovery follows the endpoint list. A Watcher decides when to poll
// discovery, a Client sends the polls over HTTP, and a Directory turns the lists
// into updates for the balancer and changes of addresses for connections.
//
// Watcher and Directory are pure: they have no goroutine, clock or connection,
// so many simulated nodes can share a process and a clock.
package discovery

// Package discovery fetches the endpoint list and its changes from the discovery
// service. A Watcher decides when to poll, a Client sends the polls over HTTP, and a
// Directory turns the lists into updates for the balancer and changes for the
// connections to endpoints.
//
// Watcher and Directory use no goroutine, clock or connection of their own, so many
// simulated nodes can share a process and a clock.
package discovery

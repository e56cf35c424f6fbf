package scaling

// Values of Figure.Mechanism: source files, each with the functions that the
// figure depends on, separated by semicolons. A test checks that the functions
// exist.
const (
	mechanismHandle      = "balancer/balancer.go Balancer.Handle"
	mechanismTick        = "balancer/balancer.go Balancer.tick"
	mechanismTickParts   = "balancer/balancer.go Balancer.tick; balancer/subset.go Balancer.refreshSubsets"
	mechanismApply       = "balancer/endpoints.go Balancer.applyEndpoints"
	mechanismRequest     = "balancer/request.go Balancer.requestArrived, Balancer.attemptEnded"
	mechanismDirectory   = "internal/discovery/directory.go Directory.Apply"
	mechanismWatcher     = "internal/discovery/watcher.go Watcher.Next; internal/discovery/schedule.go ScheduleFor"
	mechanismFetch       = "internal/discovery/request.go Client.request"
	mechanismParse       = "internal/node/config.go ParseConfig; internal/settings/settings.go Decode"
	mechanismStart       = "internal/node/config.go LoadConfig; internal/node/node.go Node.Run"
	mechanismReload      = "internal/node/config.go LoadConfig; internal/node/reload.go Node.Reload"
	mechanismReloadFetch = "internal/node/reload.go Node.Reload; internal/discovery/client.go Client.Run"
	mechanismForward     = "internal/node/frontend.go frontend.ServeHTTP; internal/upstream/attempt.go Pool.Attempt"
)

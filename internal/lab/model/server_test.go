package model

import (
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// confidence is the level of the confidence intervals in checkMean. The seeds are
// fixed, so a passing test passes until the model changes.
const confidence = 0.999

// batches is the number of batches into which the requests of a run are divided.
// A batch is much longer than the server's busy periods, so the batch means are
// nearly independent and nearly normally distributed.
const batches = 40

// sampler draws from a distribution.
type sampler interface{ Rand() float64 }

// simulateQueue sends n requests with Poisson arrivals to a server. It returns for
// each batch the mean wait of the served requests in seconds and the fraction of
// rejected requests. It omits the first batch, because the server starts empty.
func simulateQueue(s *Server, rate float64, cost sampler, n int, src rand.Source) (waits, rejected []float64) {
	gap := distuv.Exponential{Rate: rate, Src: src}
	at, costs := make([]float64, n), make([]time.Duration, n)
	sum, served, full := make([]float64, batches), make([]float64, batches), make([]float64, batches)
	recordReplies := func(replies []Reply) {
		for _, r := range replies {
			b := int(r.ID) * batches / n
			sum[b] += r.At.Seconds() - at[r.ID] - costs[r.ID].Seconds()
			served[b]++
		}
	}
	t := 0.0
	for i := range n {
		t += gap.Rand()
		now := time.Duration(t * 1e9)
		for next, ok := s.Next(); ok && next <= now; next, ok = s.Next() {
			recordReplies(s.Advance(next))
		}
		at[i], costs[i] = now.Seconds(), time.Duration(cost.Rand()*1e9)
		if s.Arrive(now, nil, Request{ID: uint64(i), Work: costs[i]}) == Rejected {
			full[i*batches/n]++
		}
	}
	recordReplies(s.Advance(time.Duration(t*1e9) + time.Hour))
	for b := 1; b < batches; b++ {
		waits = append(waits, sum[b]/served[b])
		rejected = append(rejected, full[b]/(served[b]+full[b]))
	}
	return waits, rejected
}

// checkMean fails a test unless want lies in the confidence interval of the mean
// of xs (Student's t) and half that interval is at most 10 % of want, since a
// wider one would check little.
func checkMean(t *testing.T, what string, xs []float64, want float64) {
	t.Helper()
	mean, dev := stat.MeanStdDev(xs, nil)
	df := float64(len(xs) - 1)
	half := distuv.StudentsT{Sigma: 1, Nu: df}.Quantile((1+confidence)/2) * stat.StdErr(dev, float64(len(xs)))
	t.Logf("%s: %.4g ± %.2g, want %.4g", what, mean, half, want)
	if math.Abs(mean-want) > half || half > 0.1*want {
		t.Errorf("%s: %.4g ± %.2g, want %.4g within an interval of at most 10 %% of it", what, mean, half, want)
	}
}

// erlangC returns the probability that a request must wait in an M/M/c queue with
// the offered load.
func erlangC(c int, load float64) float64 {
	b := 1.0 // Erlang B, computed by its recursion
	for i := 1; i <= c; i++ {
		b = load * b / (float64(i) + load*b)
	}
	return b / (1 - load/float64(c)*(1-b))
}

// TestQueueingTheory guards against a server model whose waits or rejections
// differ from the closed-form results for M/M/c, M/G/1 and M/M/1/K queues.
func TestQueueingTheory(t *testing.T) {
	const mean, n = 0.01, 300_000 // mean work in seconds; number of requests
	src := func() rand.Source { return rand.NewPCG(1, 2) }
	t.Run("M/M/c", func(t *testing.T) {
		for _, c := range []int{1, 4} {
			const rho = 0.7
			s, r := NewServer(ServerConfig{Cores: c, QueueLimit: Unlimited}, nil), src()
			waits, _ := simulateQueue(s, rho*float64(c)/mean, distuv.Exponential{Rate: 1 / mean, Src: r}, n, r)
			checkMean(t, "mean wait", waits, erlangC(c, rho*float64(c))*mean/(float64(c)*(1-rho)))
		}
	})
	t.Run("M/G/1", func(t *testing.T) { // Pollaczek-Khinchine formula
		const rho, cv2, speed = 0.6, 3.0, 2.0
		r := src()
		// At speed 2 an execution takes half its work, so the formula gets half the
		// mean. simulateQueue subtracts all the work from the response time, so the
		// other half of the work reduces the wait that it returns.
		// The waits vary most here, so this case sends 100,000 more requests.
		waits, _ := simulateQueue(NewServer(ServerConfig{Speed: speed, QueueLimit: Unlimited}, nil), rho*speed/mean,
			distuv.Gamma{Alpha: 1 / cv2, Beta: 1 / cv2 / mean, Src: r}, n+100_000, r)
		checkMean(t, "mean wait", waits, rho/(1-rho)*(1+cv2)/2*mean/speed-mean*(1-1/speed))
	})
	t.Run("M/M/1/K", func(t *testing.T) {
		const rho, k = 0.9, 5
		r := src()
		s := NewServer(ServerConfig{QueueLimit: k - 1}, nil)
		_, rejected := simulateQueue(s, rho/mean, distuv.Exponential{Rate: 1 / mean, Src: r}, n, r)
		checkMean(t, "rejected fraction", rejected, (1-rho)*math.Pow(rho, k)/(1-math.Pow(rho, k+1)))
		// Each execution ends at a whole nanosecond, so Work and Busy differ by up to 1 ns each.
		if st := s.Stats(); st.Served+st.Rejected != n || (st.Work-st.Busy).Abs() > time.Duration(st.Served) {
			t.Errorf("served and rejected requests do not add up, or work and busy time differ on a core of speed 1: %+v", st)
		}
	})
}

func TestWarmup(t *testing.T) {
	cfg := ServerConfig{InitialCapacity: 0.2, WarmupTime: 10 * time.Second}
	// The integral of the capacity is 0.2 t + 0.04 t², which is 6 s at the end of the warm-up.
	for _, c := range []struct{ work, takes float64 }{{2, 5}, {6, 10}, {7, 11}} {
		s := NewServer(cfg, nil)
		s.Start(time.Second)
		s.Arrive(time.Second, nil, Request{Work: time.Duration(c.work * 1e9)})
		if got, _ := s.Next(); got-time.Second != time.Duration(c.takes*1e9) {
			t.Errorf("work of %v s takes %v from a cold start, want %v s", c.work, got-time.Second, c.takes)
		}
		s.Advance(3 * time.Second) // advancing in between must not change the end
		if got, _ := s.Next(); (got - time.Second - time.Duration(c.takes*1e9)).Abs() > 1 {
			t.Errorf("work of %v s takes %v after Advance, want %v s", c.work, got-time.Second, c.takes)
		}
		s.SetHung(4*time.Second, true)
		s.SetHung(5*time.Second, false) // the server warms up while hung, so the work ends less than a second later
		if got, _ := s.Next(); got-time.Second <= time.Duration(c.takes*1e9) || got > time.Duration((c.takes+2)*1e9) {
			t.Errorf("work of %v s takes %v with a hang of 1 s; want more than without it, by at most 1 s", c.work, got-time.Second)
		}
	}
}

func TestCrashThreshold(t *testing.T) {
	// At the start N is 4 x 0.5 x 2 cores x 1 s / 10 ms = 400, so the server survives 442 requests.
	cfg := ServerConfig{Cores: 2, QueueLimit: 10, InitialCapacity: 0.5, WarmupTime: 100 * time.Second, CrashFactor: 4,
		CrashWindow: time.Second, CrashDowntime: 5 * time.Second, MeanWork: 10 * time.Millisecond}
	req := Request{Work: 10 * time.Millisecond}
	s := NewServer(cfg, nil)
	for range 2 * 442 { // a warm server never crashes
		s.Arrive(0, nil, req)
	}
	s.Start(time.Minute)
	s.Advance(time.Minute)
	for range 442 {
		s.Arrive(time.Minute, nil, req) // rejected requests count as load too
	}
	if st := s.Stats(); st.Crashes != 0 || st.WorstWarmupLoad != 1 || s.Arrive(time.Minute, nil, req) != ConnectionReset || s.Stats().Crashes != 1 {
		t.Fatalf("after 442 requests %+v, want no crash and load 1; after one more %+v, want one crash", st, s.Stats())
	}
	if replies := s.Advance(time.Minute); len(replies) != 12 || replies[0].Outcome != ConnectionReset {
		t.Errorf("the crash ends two running and ten waiting requests with %v, want 12 resets", replies)
	}
	if _, _, e := s.Connect(time.Minute); e != ConnectionRefused || s.Up() {
		t.Errorf("connecting to a crashed server: %v, want connection refused", e)
	}
	restart := time.Minute + cfg.CrashDowntime
	if next, ok := s.Next(); !ok || next != restart {
		t.Errorf("the server restarts at %v, want the end of CrashDowntime", next)
	}
	// After the restart the server warms up, and requests before the window no longer count.
	for i := range 442 {
		s.Arrive(restart+time.Duration(i), nil, req)
	}
	s.Arrive(restart+time.Second, nil, req)
	if s.Stats().Crashes != 1 {
		t.Errorf("%d crashes, want 1: the first request had left the window when the last one arrived", s.Stats().Crashes)
	}
	for range 10 {
		s.Arrive(restart+time.Second, nil, req)
	}
	if s.Stats().Crashes != 2 {
		t.Error("no second crash: the load within the window must be summed")
	}
}

func TestKeyStores(t *testing.T) {
	var all, cell, otherCell KeyStore
	s := NewServer(ServerConfig{Cores: 8, KeyStores: [ScopeCell + 1]*KeyStore{ScopeAll: &all, ScopeCell: &cell}}, nil)
	other := NewServer(ServerConfig{Cores: 8, KeyStores: [ScopeCell + 1]*KeyStore{ScopeAll: &all, ScopeCell: &otherCell}}, nil)
	for i, c := range []struct {
		s      *Server
		at     time.Duration
		req    Request
		repeat bool
	}{
		{s, 0, Request{Key: "a", Scope: ScopeCell}, false},
		{s, 999, Request{Key: "a", Scope: ScopeCell}, true},
		{other, 999, Request{Key: "a", Scope: ScopeCell}, false}, // different cell
		{s, 1000, Request{Key: "a", Scope: ScopeCell}, false},    // the window has ended
		{s, 1001, Request{Key: "a", Scope: ScopeAll}, false},     // different key store
		{other, 1002, Request{Key: "a", Scope: ScopeAll}, true},
		{s, 1003, Request{Key: "a", Scope: ScopeZone}, false}, // no key store for this scope
		{s, 1004, Request{Scope: ScopeCell}, false},
	} {
		c.req.Window, c.req.Work = 1000, 1
		c.s.Arrive(c.at, nil, c.req)
		replies := c.s.Advance(c.at + 1)
		if len(replies) != 1 || replies[0].Outcome != Served || replies[0].Repeat != c.repeat {
			t.Errorf("case %d: replies %v, want one that is served, with Repeat as listed", i, replies)
		}
	}
	// An execution that fails or is cut short has no effect, so its key may be executed again.
	req := Request{Key: "b", Work: 10, Window: time.Hour}
	s.SetFailureRate(2000, 1)
	s.Arrive(2000, nil, req)
	if r := s.Advance(2010); r[0].Outcome != Failed {
		t.Errorf("replies %v, want a failed one", r)
	}
	s.SetFailureRate(2010, -1)
	s.Arrive(2010, nil, req)
	s.Kill(2015)
	s.Start(2015)
	s.Arrive(2015, nil, req)
	if r := s.Advance(2030); len(r) != 2 || r[0].Outcome != ConnectionReset || r[1].Outcome != Served || r[1].Repeat || s.Stats().Wasted != 15 {
		t.Errorf("replies %v, want a reset and an execution that is served; wasted %v, want 15ns", r, s.Stats().Wasted)
	}
	for i := range 3 * minSweepSize { // each key has expired when the next one is added
		all.beginRun(time.Duration(i)*time.Hour, string(rune(i)), 1)
	}
	if len(all.expiry) > minSweepSize {
		t.Errorf("%d keys are kept, want at most minSweepSize; only one has not expired", len(all.expiry))
	}
}

func TestConnections(t *testing.T) {
	s := NewServer(ServerConfig{MaxConnections: 2, QueueLimit: 5, Handshake: 4, Speed: 2, IdleTimeout: 100}, nil)
	a, delay, e := s.Connect(0)
	if e != Accepted || delay != 2 || !a.Open(0) {
		t.Fatalf("first connection: %v with a delay of %v, want accepted and open with 2ns", e, delay)
	}
	b, _, _ := s.Connect(0)
	if _, _, e := s.Connect(0); e != Rejected {
		t.Errorf("third connection with a limit of 2: %v, want rejected", e)
	}
	// Two handshakes of 2 ns each and then the request run one after the other.
	s.Arrive(2, a, Request{ID: 1, Work: 10})
	s.Arrive(2, b, Request{ID: 2, Work: 10})
	s.CloseConn(3, b) // its request still waits and is dropped
	if r := s.Advance(50); len(r) != 1 || r[0] != (Reply{ID: 1, Outcome: Served, At: 9}) {
		t.Errorf("replies %v, want request 1 served at 9ns", r)
	}
	c, _, _ := s.Connect(50)
	s.Arrive(52, c, Request{ID: 3, Work: 10})
	s.CloseConn(53, c) // its request runs to the end, without a reply
	st := func() ServerStats { s.Advance(60); return s.Stats() }()
	if st.Dropped != 1 || st.Wasted != 10 || st.Served != 1 || st.Handshakes != 3 || st.RejectedConnections != 1 || st.Connections != 1 || st.PeakConnections != 2 {
		t.Errorf("statistics %+v after one dropped, one wasted and one served request on three connections", st)
	}
	if !a.Open(108) || a.Open(109) || s.Stats().IdleClosed != 1 || s.Arrive(109, a, Request{}) != ConnectionReset {
		t.Error("the idle connection must be closed at 109ns, not earlier, and reset later requests")
	}
}

func TestFaults(t *testing.T) {
	s := NewServer(ServerConfig{QueueLimit: 1}, nil)
	c, _, _ := s.Connect(0)
	s.SetHung(0, true)
	for i := range 4 {
		if e := s.Arrive(0, nil, Request{ID: uint64(i), Work: 10}); e != Accepted {
			t.Errorf("request to a hung server: %v, want accepted", e)
		}
	}
	if next, ok := s.Next(); ok {
		t.Errorf("a hung server has an event at %v, want none", next)
	}
	s.SetHung(100, false)
	if r := s.Advance(100); len(r) != 2 || r[0] != (Reply{ID: 2, Outcome: Rejected, At: 100}) || r[1].ID != 3 {
		t.Errorf("replies after a hang: %v, want requests 2 and 3 rejected at 100ns", r)
	}
	s.SetSlowdown(105, 3) // half of the execution is done; the rest takes 15 ns
	s.SetDraining(106, true)
	if e := s.Arrive(106, nil, Request{}); e != Rejected {
		t.Errorf("request to a draining server: %v, want rejected", e)
	}
	if r := s.Advance(120); len(r) != 1 || r[0].At != 120 {
		t.Errorf("replies of a slow server: %v, want one at 120ns", r)
	}
	s.Disconnect(121)
	if e := s.Arrive(122, c, Request{}); e != NoResponse || len(s.Advance(500)) != 0 {
		t.Errorf("request to a machine off the network: %v, want no response and no replies", e)
	}
	if _, _, e := s.Connect(500); e != NoResponse {
		t.Errorf("connecting to a machine off the network: %v, want no response", e)
	}
	s.Start(500)
	if e := s.Arrive(500, c, Request{}); e != ConnectionReset {
		t.Errorf("request on a connection to the earlier process: %v, want connection reset", e)
	}
	b, _, _ := s.Connect(500)
	s.Arrive(500, nil, Request{ID: 8, Work: 100})
	s.Arrive(500, b, Request{ID: 9, Work: 100}) // waits
	s.Kill(501)
	s.Start(501)
	if len(s.Advance(501)) != 2 || b.Open(501) {
		t.Error("a kill must end two requests and a connection")
	}
	s.CloseConn(502, b) // opened to the earlier process, so the new one ignores it
	if st := s.Stats(); st.Waiting != 0 || st.Connections != 0 || st.Dropped != 0 {
		t.Errorf("statistics %+v, want no waiting or dropped requests and no connections", st)
	}
	s.Kill(501)
	if e := s.Arrive(501, nil, Request{}); e != ConnectionRefused {
		t.Errorf("request to a killed server: %v, want connection refused", e)
	}
}

func TestServerIsDeterministic(t *testing.T) {
	run := func() (ServerStats, []float64) {
		r := rand.NewPCG(3, 4)
		s := NewServer(ServerConfig{Cores: 3, QueueLimit: 4, FailureRate: 0.1, InitialCapacity: 0.1, WarmupTime: 20 * time.Second,
			CrashFactor: 3, CrashWindow: time.Second, CrashDowntime: time.Second, MeanWork: 10 * time.Millisecond}, rand.New(r))
		s.Start(0)
		waits, _ := simulateQueue(s, 280, distuv.Exponential{Rate: 100, Src: r}, 20_000, r)
		return s.Stats(), waits
	}
	a, wa := run()
	if b, wb := run(); a != b || !reflect.DeepEqual(wa, wb) || a.Failed == 0 || a.Crashes == 0 {
		t.Errorf("two runs with the same seed differ, or lack failures or crashes:\n%+v\n%+v", a, b)
	}
}

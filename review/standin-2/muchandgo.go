package main

import (
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Sizes of the case much-and-go.
const (
	goWaves     = 15
	goWaveEvery = time.Second
	goClients   = 60   // that come in a wave
	goRequests  = 2000 // that each of them sends at once: about 250 KB
	goStay      = 20 * time.Millisecond
	goDeadline  = time.Second
	goWork      = 200 * time.Millisecond

	usualClients = 10
	leftSlack    = 100 * time.Millisecond // an attempt that begins later after the close is lost
)

// goRun is a run of the case much-and-go.
type goRun struct {
	*world
	mu       sync.Mutex
	left     map[string]time.Time // when the client of a connection has closed it
	arrivals map[string]int       // by request
	broken   int
	attempts int // for clients that have left

	served, usual atomic.Int64
}

// playMuchAndGo plays clients that send much at once and go, and endpoints of which some
// answers are spoilt: they break off in the middle. The node must not begin an attempt more
// than 0.1 s after the client has closed its connection.
func playMuchAndGo(w *world) (broken int, err error) {
	run := &goRun{world: w, left: map[string]time.Time{}, arrivals: map[string]int{}}
	if err := w.startEndpoints(16, run.behave); err != nil {
		return 0, err
	}
	if err := w.startNode(48, 256); err != nil {
		return 0, err
	}
	end := time.Now().Add(goWaves * goWaveEvery)
	var clients sync.WaitGroup
	for range usualClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			run.playUsualClient(end)
		}()
	}
	time.Sleep(goWaveEvery)
	for wave := range goWaves {
		texts := make([]string, goClients)
		for i := range texts {
			texts[i] = run.textOf(connectionName(wave, i))
		}
		for i, text := range texts {
			clients.Add(1)
			go func() {
				defer clients.Done()
				run.playGoingClient(connectionName(wave, i), text)
			}()
		}
		time.Sleep(goWaveEvery)
	}
	clients.Wait()
	time.Sleep(2 * time.Second) // for the last attempts
	run.mu.Lock()
	defer run.mu.Unlock()
	w.summary("usual requests %d, served %d; attempts for clients that had left %d, too late %d", run.usual.Load(), run.served.Load(), run.attempts, run.broken)
	if run.served.Load() == 0 {
		return 0, fmt.Errorf("no usual request was served")
	}
	return run.broken, nil
}

// connectionName is the first half of the IDs of a connection's requests.
func connectionName(wave, i int) string { return fmt.Sprintf("%04x%04x", wave+1, i) }

// textOf returns what a client sends: many requests or, without trouble, one.
func (r *goRun) textOf(connection string) string {
	count := 1
	if r.trouble {
		count = goRequests
	}
	var text strings.Builder
	for i := range count {
		text.WriteString(message{id: fmt.Sprintf("%s%08x", connection, i), class: "save-page", deadline: goDeadline}.text())
	}
	return text.String()
}

// playGoingClient sends much and goes.
func (r *goRun) playGoingClient(connection, text string) {
	c, err := net.DialTimeout("tcp", r.node.address, time.Second)
	if err != nil {
		r.note("not connected", connection, err)
		return
	}
	began := time.Now()
	c.SetWriteDeadline(began.Add(goStay))
	written, err := io.WriteString(c, text)
	time.Sleep(time.Until(began.Add(goStay)))
	left := time.Now()
	r.mu.Lock()
	r.left[connection] = left
	r.mu.Unlock()
	c.Close()
	r.note("client goes", connection, "written", written, "of", len(text), "bytes", "error", err)
}

// playUsualClient sends one request after another.
func (r *goRun) playUsualClient(end time.Time) {
	for time.Now().Before(end) {
		c, err := dialClient(r.node.address)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		for time.Now().Before(end) {
			m := message{id: "ffffffff" + r.nextID()[8:], class: "save-page", deadline: goDeadline}
			r.usual.Add(1)
			if c.send([]message{m}) != nil {
				break
			}
			a := c.receive(time.Now().Add(goDeadline + lostAfter + limitSlack))
			r.note("usual", m.id, a.status)
			if a.status == 200 {
				r.served.Add(1)
			}
			if a.status == 0 || a.close {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		c.conn.Close()
	}
}

// behave checks an attempt and spoils the first answer to one in three requests.
func (r *goRun) behave(a arrival) plan {
	connection := a.id[:8]
	r.mu.Lock()
	r.arrivals[a.id]++
	first := r.arrivals[a.id] == 1
	left, gone := r.left[connection]
	late := a.firstAt.Sub(left)
	if gone && late > 0 {
		r.attempts++
		if late > leftSlack+limitSlack {
			r.broken++
			r.mu.Unlock()
			r.note("attempt for a client that has left", a.id, "late", late)
			r.mu.Lock()
		}
	}
	r.mu.Unlock()
	hash := fnv.New32a()
	io.WriteString(hash, a.id)
	return plan{work: goWork, spoilt: first && hash.Sum32()%2 == 0}
}

// Package fairshare divides processor time among clients' connections, so that no
// client keeps the processor from others by what it sends.
//
// Each connection may use an equal part of a fixed share of the processor. What a
// connection uses beyond its part is taken from a surplus that all connections share,
// and the connection has to wait when the surplus is used up. A connection pays for
// work after it has been done.
package fairshare

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Shares of the processor, in seconds of work per second.
const (
	entitledShare = 0.25  // divided evenly among the connections
	surplusShare  = 0.125 // for what connections use beyond their part
)

// entitledBurst is the work that an account can save up. A new account has saved up
// nothing, as clients can open any number of connections.
const entitledBurst = 50 * time.Millisecond

// surplusBurst is the surplus that is saved up.
const surplusBurst = 5 * time.Millisecond

// Divider divides the processor among accounts. Its methods may be called from any
// goroutine.
type Divider struct {
	processors float64
	accounts   atomic.Int64
	surplus    Allowance
}

// NewDivider returns a divider of the given number of processors, which may be a fraction.
func NewDivider(processors float64) *Divider {
	return &Divider{processors: processors, surplus: NewAllowance(surplusShare*processors, surplusBurst)}
}

// Account is one connection's part of a Divider. Its methods may be called from any
// goroutine.
type Account struct {
	divider   *Divider
	entitled  *rate.Limiter // a token is a nanosecond of work
	overdrawn atomic.Bool
}

// Open returns a new account. The caller closes it.
func (d *Divider) Open(now time.Time) *Account {
	d.accounts.Add(1)
	a := &Account{divider: d, entitled: rate.NewLimiter(d.entitlement(), int(entitledBurst))}
	a.entitled.AllowN(now, int(entitledBurst))
	return a
}

// entitlement returns what each account may use without drawing on the surplus.
func (d *Divider) entitlement() rate.Limit {
	return perSecond(entitledShare * d.processors / float64(max(d.accounts.Load(), 1)))
}

// ChargeSurplus charges work that no account is entitled to. It returns how long to wait
// before the next such work.
func (d *Divider) ChargeSurplus(now time.Time, work time.Duration) (wait time.Duration) {
	return d.surplus.Charge(now, work)
}

// Close returns the account's part to the other accounts. It must be called only once.
func (a *Account) Close() { a.divider.accounts.Add(-1) }

// Charge charges work that has been done. It returns how long the connection has to
// wait before its next work: until its own part or the surplus pays for the work,
// whichever is sooner.
func (a *Account) Charge(now time.Time, work time.Duration) (wait time.Duration) {
	a.entitled.SetLimitAt(now, a.divider.entitlement())
	own := a.entitled.ReserveN(now, cost(work))
	ownWait := own.DelayFrom(now)
	a.overdrawn.Store(ownWait > 0)
	if ownWait == 0 {
		return 0
	}
	surplus := a.divider.surplus.limiter.ReserveN(now, cost(work))
	surplusWait := surplus.DelayFrom(now)
	if surplusWait < ownWait {
		own.CancelAt(now)
		return limitWait(surplus, now)
	}
	surplus.CancelAt(now)
	return limitWait(own, now)
}

// Overdrawn reports whether the account's latest work exceeded its part.
func (a *Account) Overdrawn() bool { return a.overdrawn.Load() }

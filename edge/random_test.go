// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/internal/simsite"
	"github.com/heathkeel/heathkeel/internal/site"
	"github.com/heathkeel/heathkeel/platform"
)

// trouble is a time in which something disturbed a host, or the store for all hosts. For the contact time
// after it, the host need not observe the drain time.
type trouble struct{ from, to time.Time }

// randomPlay disturbs a site at random while endpoints and keys come and go.
type randomPlay struct {
	*simsite.Site
	rand      *rand.Rand
	startedAt time.Time

	key       int                         // number of the current key
	rotatedAt time.Time                   // when it became the current one
	withdrawn map[int][]time.Duration     // clock of each host when a key was withdrawn, by its number
	suspended []time.Duration             // total time of suspension, by host
	live      []*simsite.Endpoint         // endpoints that serve and have not left
	troubles  map[*simsite.Host][]trouble // by host; those of the store under nil
	violation string                      // the first one found, or empty

	sent, served int // number of requests
}

// keyName returns the name of a key.
func keyName(n int) string { return fmt.Sprint("key-", n) }

// clocks returns the clocks of the hosts; they count suspensions.
func (p *randomPlay) clocks() []time.Duration {
	out := make([]time.Duration, len(p.Hosts))
	for i := range out {
		out[i] = time.Since(p.startedAt) + p.suspended[i]
	}
	return out
}

// span returns a random time up to limit.
func (p *randomPlay) span(limit time.Duration) time.Duration {
	return time.Duration(p.rand.Int64N(int64(limit)))
}

// disturb records a trouble of a host, or of the store if h is nil, from now until after d.
func (p *randomPlay) disturb(h *simsite.Host, d time.Duration) {
	p.troubles[h] = append(p.troubles[h], trouble{time.Now(), time.Now().Add(d)})
}

// calmSince reports whether nothing disturbed a host or the store in the time d before at.
func (p *randomPlay) calmSince(h *simsite.Host, at time.Time, d time.Duration) bool {
	for _, list := range [][]trouble{p.troubles[h], p.troubles[nil]} {
		for _, t := range list {
			if t.from.Before(at) && t.to.After(at.Add(-d)) {
				return false
			}
		}
	}
	return true
}

// rotateKey replaces the key.
func (p *randomPlay) rotateKey() {
	p.withdrawn[p.key] = p.clocks()
	p.key++
	c := site.Example()
	c.Version, c.Tenants[0].Keys = p.key+1, []string{keyName(p.key)}
	p.Store.Put(platform.KeyConfig, c)
	p.rotatedAt = time.Now()
}

// replaceEndpoint starts an endpoint and makes another one leave.
func (p *randomPlay) replaceEndpoint(t *testing.T) {
	must.NoError(t, p.AddEndpoint())
	p.live = append(p.live, p.Endpoints[len(p.Endpoints)-1])
	i := p.rand.IntN(len(p.live) - 1)
	p.live[i].Leave(p.rand.IntN(2) == 0)
	p.live = append(p.live[:i:i], p.live[i+1:]...)
}

// outage makes the store fail for all hosts. Entries lapse if it lasts long enough, and the endpoints
// renew them after it.
func (p *randomPlay) outage(t *testing.T) {
	const lapseTime = 3600 * time.Millisecond
	d := 300*time.Millisecond + p.span(15*time.Second)
	p.disturb(nil, d)
	p.SetStoreBehavior(p.behavior())
	if p.rand.IntN(2) == 0 {
		p.rotateKey()
	}
	var lapsed []*simsite.Endpoint
	if d > lapseTime {
		p.run(t, lapseTime)
		lapsed = append(lapsed, p.live...)
		for _, e := range lapsed {
			e.Lapse()
		}
		d -= lapseTime
	}
	p.run(t, d)
	p.SetStoreBehavior(simsite.Normal)
	if len(lapsed) > 0 {
		p.disturb(nil, 2*time.Second) // until the endpoints have renewed their entries
		p.run(t, p.span(1800*time.Millisecond))
		for _, e := range lapsed {
			if slices.Contains(p.live, e) {
				e.Renew()
			}
		}
	}
}

// behavior returns a random way in which the store fails.
func (p *randomPlay) behavior() simsite.Behavior {
	return []simsite.Behavior{simsite.Refuse, simsite.Hang, simsite.Stall}[p.rand.IntN(3)]
}

// suspend suspends one host, or all, while endpoints are replaced and the key changes. The store may be
// silent for them for a while after they wake.
func (p *randomPlay) suspend(t *testing.T) {
	const asleep = 300 * time.Millisecond
	first, n := p.rand.IntN(len(p.Hosts)), 1
	if p.rand.IntN(2) == 0 {
		first, n = 0, len(p.Hosts)
	}
	silent := p.span(4 * time.Second)
	for i := first; i < first+n; i++ {
		p.disturb(p.Hosts[i], asleep+silent)
		p.Store.SetBehavior(p.Hosts[i].Boot.IP, simsite.Stall)
		p.Hosts[i].Stall(asleep)
	}
	time.Sleep(asleep / 2)
	p.rotateKey()
	p.replaceEndpoint(t)
	time.Sleep(asleep / 2)
	d := []time.Duration{300 * time.Millisecond, 2 * time.Second, 8 * time.Second, time.Minute}[p.rand.IntN(4)]
	for i := first; i < first+n; i++ {
		p.suspended[i] += d
		p.Hosts[i].Suspend(d)
	}
	p.run(t, silent)
	for i := first; i < first+n; i++ {
		p.Store.SetBehavior(p.Hosts[i].Boot.IP, simsite.Normal)
	}
}

// restart kills a host and starts it again.
func (p *randomPlay) restart() {
	h := p.Hosts[p.rand.IntN(len(p.Hosts))]
	p.disturb(h, 0)
	h.Kill()
	p.StartHost(h)
}

// step disturbs the site in one way.
func (p *randomPlay) step(t *testing.T) {
	i := p.rand.IntN(len(p.Hosts))
	h := p.Hosts[i]
	switch p.rand.IntN(7) {
	case 0:
		p.outage(t)
	case 1: // the store fails for one host
		d := 300*time.Millisecond + p.span(4*time.Second)
		p.disturb(h, d)
		p.Store.SetBehavior(h.Boot.IP, p.behavior())
		p.run(t, d)
		p.Store.SetBehavior(h.Boot.IP, simsite.Normal)
	case 2:
		p.suspend(t)
	case 3:
		p.restart()
	case 4:
		p.replaceEndpoint(t)
	case 5:
		p.rotateKey()
	case 6: // calm
		p.run(t, smallBoot.ContactTime+2*time.Second)
	}
	p.run(t, p.span(1500*time.Millisecond))
}

// run sends requests for d and checks their answers. Now and then a host restarts, an endpoint
// leaves or the key changes meanwhile.
func (p *randomPlay) run(t *testing.T, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end) && p.violation == ""; time.Sleep(40 * time.Millisecond) {
		switch p.rand.IntN(200) {
		case 0, 1, 2:
			p.restart()
		case 3:
			p.rotateKey()
		case 4:
			p.replaceEndpoint(t)
		}
		i := p.rand.IntN(len(p.Hosts))
		n, sent := max(0, p.key-p.rand.IntN(3)), p.clocks()[i]
		status := p.SendRequestWithKey(p.Hosts[i], keyName(n))
		p.sent++
		if status == http.StatusOK {
			p.served++
		}
		p.checkAnswer(i, n, sent, status)
	}
	must.EqOp(t, "", p.violation)
}

// checkAnswer checks the answer of host i to a request under key n that was sent at a time of its clock.
func (p *randomPlay) checkAnswer(i, n int, sent time.Duration, status int) {
	if withdrawn, ok := p.withdrawn[n]; ok && status == http.StatusOK && sent-withdrawn[i] > smallBoot.RevokeTime {
		p.violation = fmt.Sprintf("host %d served key %d, which was withdrawn %s before", i, n, sent-withdrawn[i])
	}
	calm := p.calmSince(p.Hosts[i], time.Now(), smallBoot.ContactTime+time.Second) && time.Since(p.rotatedAt) > smallBoot.ConfigTime
	if calm && n == p.key && status != http.StatusOK {
		p.violation = fmt.Sprintf("host %d answered %d under the current key in calm time", i, status)
	}
}

// lateArrival describes a request that an undisturbed host sent to an endpoint that had left for longer
// than the drain time, or returns "".
func (p *randomPlay) lateArrival() string {
	for _, e := range p.Endpoints {
		for _, a := range e.Arrivals() {
			for i, h := range p.Hosts {
				if a.From == h.Boot.IP && a.AfterLeaving > smallBoot.DrainTime && p.calmSince(h, a.ReceivedAt, smallBoot.ContactTime) {
					return fmt.Sprintf("host %d sent %s a request %s after it had left", i, e.Instance, a.AfterLeaving)
				}
			}
		}
	}
	return ""
}

// TestRandomTrouble disturbs hosts and the store at random: outages in which entries lapse, suspensions of
// one host or all with a silent store after them, restarts, while endpoints leave and keys are withdrawn.
// No withdrawn key may be served for longer than the revocation time, no undisturbed host may use an
// endpoint for longer than the drain time after it left, and in calm times all is served.
// HEATHKEEL_SEEDS sets the number of plays, with random seeds.
func TestRandomTrouble(t *testing.T) {
	plays, first := 10, uint64(1)
	if n, err := strconv.Atoi(os.Getenv("HEATHKEEL_SEEDS")); err == nil {
		plays, first = n, rand.Uint64N(1e9)
	}
	for seed := first; seed < first+uint64(plays); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				p := &randomPlay{
					Site:      &simsite.Site{Boot: smallBoot, Zones: 2, StrongPerZone: 2, Latency: time.Millisecond, Log: logr.Discard()},
					startedAt: time.Now(), rand: rand.New(rand.NewPCG(seed, 58)), withdrawn: make(map[int][]time.Duration), troubles: make(map[*simsite.Host][]trouble),
				}
				p.Boot.StrictRevoke = true
				defer p.Stop()
				hosts := []int{1, 3, 6}[p.rand.IntN(3)]
				p.suspended = make([]time.Duration, hosts)
				must.NoError(t, p.Start(site.Example(), 4, hosts))
				p.live = append(p.live, p.Endpoints...)
				p.rotateKey()
				time.Sleep(3 * time.Second)
				for range 25 {
					p.step(t)
				}
				t.Logf("%d of %d served, %d hosts, %d keys", p.served, p.sent, hosts, p.key)
				must.EqOp(t, "", p.lateArrival())
			})
		})
	}
}

// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package quarantine

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestSharedParts(t *testing.T) {
	cases := []struct {
		list string
		want []string
	}{
		{"", nil},
		{"a:1", nil}, // the only part is the request's own
		{"a:1,b:2", []string{"a"}},
		{" a:1 , b:2,c:3", []string{"a", "b"}},
		{"a,b,c", []string{"a", "b"}},
		{":1,,b:2,c:3", []string{"b"}},
		{strings.Repeat("x", maxPartBytes+1) + ":1,b:2,c:3", []string{"b"}},
		{strings.Repeat("a:1,", 10*maxParts), slices.Repeat([]string{"a"}, maxParts)},
	}
	for _, tc := range cases {
		must.Eq(t, tc.want, SharedParts(tc.list))
	}
}

func TestPartFingerprints(t *testing.T) {
	p := Part{Service: "s", ID: "a"}
	must.EqOp(t, p.Fingerprint(), (&Part{Service: "s", ID: "a"}).Fingerprint())
	must.NotEq(t, p.Fingerprint(), (&Part{Service: "t", ID: "a"}).Fingerprint())
	must.NotEq(t, p.Fingerprint(), (&Part{Service: "s", ID: "b"}).Fingerprint())
	must.NotEq(t, p.Fingerprint(), (&Part{Service: "sa"}).Fingerprint())
}

// TestAnswersClearParts checks that an answer keeps a part from being suspected for a while, at the host that saw it and at those that it
// tells, and that it ends a trial and a hold.
func TestAnswersClearParts(t *testing.T) {
	f := (&Part{Service: "s", ID: "a"}).Fingerprint()
	crashAt := func(at time.Duration, n int) Termination {
		return Termination{Incarnation: fmt.Sprint("life-", n), At: at}
	}
	t.Run("answered before", func(t *testing.T) {
		reg := Registry{Host: "h", Parts: true}
		reg.NoteAnswer(0, f)
		for n := range 10 {
			must.False(t, reg.NoteCrash(clearTime, f, crashAt(clearTime, n)))
		}
		must.True(t, reg.Empty())
		for n := range trialCrashes {
			must.True(t, reg.NoteCrash(clearTime+1, f, crashAt(clearTime+1, n)))
		}
		must.True(t, reg.OnTrial(clearTime+1, f))
	})
	t.Run("answered by another host", func(t *testing.T) {
		one, other := Registry{Host: "one", Parts: true}, Registry{Host: "other", Parts: true}
		other.NoteAnswer(0, f)
		for n := range trialCrashes {
			one.NoteCrash(time.Second, f, crashAt(time.Second, n))
		}
		must.True(t, one.OnTrial(time.Second, f))
		told := one.Outgoing(time.Second, All)
		other.Merge(time.Second, &told)
		must.False(t, other.OnTrial(time.Second, f))
		answer := other.Outgoing(time.Second, Local)
		one.Merge(time.Second, &answer)
		must.False(t, one.OnTrial(time.Second, f))
		must.Len(t, 0, one.Incarnations(f))
	})
	t.Run("held", func(t *testing.T) {
		reg := Registry{Host: "h", Parts: true}
		for n := range trialCrashes {
			reg.NoteCrash(time.Second, f, crashAt(time.Second, n))
		}
		r := reg.Record(time.Second, 1000, f)
		must.True(t, r.Part)
		for range maxTrials {
			must.True(t, r.Grant(1000))
		}
		reg.Restore(time.Second, 1000, &r)
		_, held := reg.Held(time.Second, f)
		must.True(t, held)
		must.True(t, reg.NoteAnswer(2*time.Second, f))
		_, held = reg.Held(2*time.Second, f)
		must.False(t, held)
	})
}

// TestManyPartsAreBounded checks that a flood of parts under which an endpoint crashed takes bounded memory and evicts none that is
// held.
func TestManyPartsAreBounded(t *testing.T) {
	reg := Registry{Host: "h", Parts: true}
	held := (&Part{ID: "held"}).Fingerprint()
	for n := range trialCrashes {
		reg.NoteCrash(time.Second, held, Termination{Incarnation: fmt.Sprint(n), At: time.Second})
	}
	r := reg.Record(time.Second, 1000, held)
	for range maxTrials {
		r.Grant(1000)
	}
	reg.Restore(time.Second, 1000, &r)
	for n := range maxSuspects + 100 {
		f := (&Part{ID: fmt.Sprint(n)}).Fingerprint()
		reg.NoteCrash(time.Second, f, Termination{Incarnation: "x", At: time.Second})
		reg.NoteAnswer(time.Second, (&Part{ID: fmt.Sprint("answered-", n)}).Fingerprint())
	}
	must.LessEq(t, maxSuspects, reg.Suspects())
	_, ok := reg.Held(time.Second, held)
	must.True(t, ok)
}

// partSim plays requests whose prompts share parts, at several hosts before endpoints that crash.
type partSim struct {
	rand  *rand.Rand
	now   time.Duration
	hosts []*Registry
	// records are the counts of sends on trial, which all hosts share.
	records map[Fingerprint]*Record
	runs    map[int][]*partRun // by endpoint
	down    map[int]time.Duration
	lives   int
	crashes int // that the crashing part caused
	refused int // sound requests, for a part
	sound   int
}

// partRun is a request that runs at an endpoint.
type partRun struct {
	host    int
	parts   []Fingerprint
	ends    time.Duration
	crashes bool // it crashes the endpoint at its end
}

// Parameters of partSim.
const (
	partSimHosts     = 6
	partSimEndpoints = 18
	partSimStep      = 10 * time.Millisecond
	partSimTime      = 120 * time.Second
	partSimLoad      = 90.0 // requests per second
)

// crash ends an endpoint.
func (sim *partSim) crash(endpoint int) {
	if sim.now < sim.down[endpoint] {
		return
	}
	sim.lives++
	for _, r := range sim.runs[endpoint] {
		for _, f := range r.parts {
			sim.hosts[r.host].NoteCrash(sim.now, f, Termination{Incarnation: fmt.Sprint("life-", sim.lives), At: sim.now})
		}
	}
	sim.runs[endpoint], sim.down[endpoint] = nil, sim.now+2*time.Second+time.Duration(sim.rand.IntN(2000))*time.Millisecond
}

// send sends a request to a random endpoint, unless it is refused for a part.
func (sim *partSim) send(parts []Fingerprint, duration time.Duration, crashes bool) {
	host := sim.rand.IntN(partSimHosts)
	reg := sim.hosts[host]
	if !crashes {
		sim.sound++
	}
	for _, f := range parts {
		granted := true
		if reg.OnTrial(sim.now, f) {
			r := sim.records[f]
			if r == nil {
				first := reg.Record(sim.now, sim.now.Milliseconds(), f)
				r = &first
				sim.records[f] = r
			}
			granted = r.Grant(sim.now.Milliseconds())
			reg.Restore(sim.now, sim.now.Milliseconds(), r)
		} else if _, held := reg.Held(sim.now, f); held {
			granted = false
		}
		if !granted {
			if !crashes {
				sim.refused++
			}
			return
		}
	}
	endpoint := sim.rand.IntN(partSimEndpoints)
	if sim.now >= sim.down[endpoint] {
		sim.runs[endpoint] = append(sim.runs[endpoint], &partRun{host, parts, sim.now + duration, crashes})
	}
}

// step ends the runs that are over and lets hosts exchange their evidence.
func (sim *partSim) step() {
	for endpoint := range partSimEndpoints {
		for _, r := range slices.Clone(sim.runs[endpoint]) {
			if sim.now < r.ends {
				continue
			}
			if r.crashes {
				sim.crashes++
				sim.crash(endpoint)
				break
			}
			for _, f := range r.parts {
				sim.hosts[r.host].NoteAnswer(sim.now, f)
				if rec := sim.records[f]; rec != nil {
					delete(sim.records, f)
				}
			}
			sim.runs[endpoint] = slices.DeleteFunc(sim.runs[endpoint], func(o *partRun) bool { return o == r })
		}
	}
	if sim.now%(200*time.Millisecond) == 0 {
		for i, from := range sim.hosts {
			e := from.Outgoing(sim.now, Local)
			for j, to := range sim.hosts {
				if i != j {
					to.Merge(sim.now, &e)
				}
			}
		}
	}
}

// partSimCase is a play of partSim.
type partSimCase struct {
	name        string
	massCrashes []time.Duration // a third of the endpoints crash at the same moment
	allCrash    []time.Duration // all endpoints crash at the same moment
	flapping    bool            // a quarter of the endpoints crash again as soon as they are up
	endRate     float64         // ends of an endpoint per second
	guiltyRate  float64         // requests per second with the crashing part, from 10 to 60 s
	idle        bool            // nothing came before for longer than clearTime
}

// play plays a case.
func (sim *partSim) play(c *partSimCase) {
	for i := range partSimHosts {
		sim.hosts = append(sim.hosts, &Registry{Host: fmt.Sprint("host-", i), Endpoints: partSimEndpoints, Parts: true})
	}
	fp := func(id string) Fingerprint { return (&Part{Service: "s", ID: id}).Fingerprint() }
	common, guilty := fp("common"), fp("guilty")
	if !c.idle {
		for _, h := range sim.hosts {
			h.NoteAnswer(0, common)
		}
	}
	chance := func(perSecond float64) bool { return sim.rand.Float64() < perSecond*partSimStep.Seconds() }
	sessions := 0
	for sim.now = partSimStep; sim.now < partSimTime; sim.now += partSimStep {
		for range int(partSimLoad*partSimStep.Seconds() + sim.rand.Float64()) {
			parts := []Fingerprint{common, fp(fmt.Sprint("thing-", int(40*math.Pow(sim.rand.Float64(), 2))))}
			if sim.rand.IntN(3) == 0 { // a session: a part that few requests hold
				sessions++
				parts = append(parts, fp(fmt.Sprint("session-", sessions/4)))
			}
			sim.send(parts, time.Duration(min(14, 0.8*math.Exp(0.9*sim.rand.NormFloat64()))*float64(time.Second)), false)
		}
		if c.guiltyRate > 0 && sim.now > 10*time.Second && sim.now < 60*time.Second && chance(c.guiltyRate) {
			sim.send([]Fingerprint{common, guilty}, time.Duration(50+sim.rand.IntN(200))*time.Millisecond, true)
		}
		for endpoint := range partSimEndpoints {
			if chance(c.endRate) || (c.flapping && endpoint < partSimEndpoints/4 && chance(1)) ||
				(slices.Contains(c.massCrashes, sim.now) && endpoint%3 == 0) || slices.Contains(c.allCrash, sim.now) {
				sim.crash(endpoint)
			}
		}
		sim.step()
	}
}

// TestPartAttribution checks that a part which crashes endpoints is found after few crashes, and that no sound request is refused for
// the parts of its prompt, whatever else ends endpoints.
func TestPartAttribution(t *testing.T) {
	seconds := func(list ...int) []time.Duration {
		var out []time.Duration
		for _, s := range list {
			out = append(out, time.Duration(s)*time.Second)
		}
		return out
	}
	cases := []partSimCase{
		{name: "nothing ends"},
		{name: "endpoints end by themselves", endRate: 0.02},
		{name: "a storm of ends", endRate: 0.1},
		{name: "flapping endpoints", flapping: true},
		{name: "a third crashes at once", massCrashes: seconds(5, 20, 35, 50, 65, 80, 95)},
		{name: "all crash at once", allCrash: seconds(5, 20, 35, 50, 65, 80, 95)},
		{name: "a third crashes at once at the first requests", massCrashes: seconds(1), idle: true},
		{name: "few guilty requests", guiltyRate: 0.8},
		{name: "many guilty requests", guiltyRate: 6},
		{name: "many guilty requests while others end", guiltyRate: 6, endRate: 0.05},
		{name: "many guilty requests, a third crashes at once", guiltyRate: 6, massCrashes: seconds(9, 11, 13, 20, 35)},
	}
	sound, refused := 0, 0
	for _, c := range cases {
		for seed := range uint64(3) {
			sim := &partSim{rand: rand.New(rand.NewPCG(seed, 1)), records: make(map[Fingerprint]*Record), runs: make(map[int][]*partRun), down: make(map[int]time.Duration)}
			sim.play(&c)
			sound, refused = sound+sim.sound, refused+sim.refused
			t.Logf("%s, seed %d: %d crashes by the part, %d of %d sound requests refused", c.name, seed, sim.crashes, sim.refused, sim.sound)
			// Three crashes, as many sends on trial, and those under way when the third crash is known to all.
			must.LessEq(t, trialCrashes+maxTrials+int(math.Ceil(c.guiltyRate)), sim.crashes)
			must.EqOp(t, 0, sim.refused)
		}
	}
	must.Greater(t, 100_000, sound)
}

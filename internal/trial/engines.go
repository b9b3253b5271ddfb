// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package trial

import (
	"time"

	"github.com/heathkeel/heathkeel/internal/fake"
	"github.com/heathkeel/heathkeel/sched"
)

// engine is a stand-in engine or plain service on the trial's clock.
type engine struct {
	name     string
	core     fake.EngineCore
	step     time.Duration
	slowBy   float64
	dead     bool
	plain    bool
	stepping bool
	t        *Trial
	past     []sched.Report
	events   uint64
}

// pastReports bounds the reports kept for lagging readers.
const pastReports = 400

// newEngines makes 18 unlike runners and 4 plain services: three generations of
// which the fastest is three times as fast as the slowest.
func newEngines(t *Trial) []*engine {
	generations := []struct {
		step          time.Duration
		slots, blocks int
		prefill       int
	}{
		{4 * time.Millisecond, 16, 3000, 512},
		{7 * time.Millisecond, 12, 2000, 384},
		{12 * time.Millisecond, 8, 1200, 256},
	}
	var out []*engine
	for i := range 18 {
		g := generations[i%3]
		out = append(out, &engine{
			name: "runner-" + string(rune('a'+i)), step: g.step, slowBy: 1, t: t,
			core: fake.EngineCore{Slots: g.slots, PrefillPerStep: g.prefill, CacheBlocks: g.blocks},
		})
	}
	for i := range 4 {
		out = append(out, &engine{
			name: "api-" + string(rune('a'+i)), step: 4 * time.Millisecond, slowBy: 1, t: t, plain: true,
			core: fake.EngineCore{Slots: 32, PrefillPerStep: 1 << 20},
		})
	}
	return out
}

// add gives the engine a request.
func (e *engine) add(j *fake.Job) {
	e.core.Add(j)
	e.kick()
}

// kick starts stepping if the engine is idle.
func (e *engine) kick() {
	if e.stepping || e.dead || e.core.Idle() {
		return
	}
	e.stepping = true
	e.t.after(time.Duration(float64(e.step)*e.slowBy), e.tick)
}

// tick is the end of one step.
func (e *engine) tick() {
	e.stepping = false
	if e.dead {
		return
	}
	for _, em := range e.core.Step() {
		e.t.token(e, em)
	}
	e.kick()
}

// kill breaks all requests of the engine and refuses new ones.
func (e *engine) kill() {
	e.dead = true
	jobs := e.core.Jobs()
	e.core.Clear()
	for _, j := range jobs {
		e.t.broken(j)
	}
}

// sample keeps a report for lagging readers.
func (e *engine) sample() {
	r := e.core.Report()
	rep := sched.Report{
		At: e.t.now, Running: r.Running, Waiting: r.Waiting, PrefillTokens: r.PrefillTokens, Slots: r.Slots,
		Step: e.step, PrefillPerStep: r.PrefillPerStep, Model: model, AcceptsPrompts: true,
	}
	if e.plain {
		rep.Model = ""
	}
	e.past = append(e.past, rep)
	if len(e.past) > pastReports {
		e.past = append(e.past[:0], e.past[len(e.past)-pastReports/2:]...)
	}
}

// lagged returns the newest report that is at least lag old.
func (e *engine) lagged(lag time.Duration) (sched.Report, bool) {
	for i := len(e.past) - 1; i >= 0; i-- {
		if e.t.now-e.past[i].At >= lag {
			return e.past[i], true
		}
	}
	return sched.Report{}, false
}

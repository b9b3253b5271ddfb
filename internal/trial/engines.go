// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package trial

import (
	"time"

	"github.com/heathkeel/heathkeel/internal/fake"
	"github.com/heathkeel/heathkeel/sched"
)

// engine is a fake engine or plain service on the trial's clock.
type engine struct {
	name        string
	core        fake.EngineCore
	stepTime    time.Duration
	slowdown    float64
	dead        bool
	plain       bool
	stepPending bool
	t           *Trial
	pastReports []sched.Report
	nextEvent   uint64
}

// maxPastReports is the maximum number of reports kept to serve lagging ones.
const maxPastReports = 400

// newEngines returns 18 engines of three generations, of which the fastest is three
// times as fast as the slowest, and 4 plain services.
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
			name: "runner-" + string(rune('a'+i)), stepTime: g.step, slowdown: 1, t: t,
			core: fake.EngineCore{Slots: g.slots, PrefillPerStep: g.prefill, CacheBlocks: g.blocks},
		})
	}
	for i := range 4 {
		out = append(out, &engine{
			name: "api-" + string(rune('a'+i)), stepTime: 4 * time.Millisecond, slowdown: 1, t: t, plain: true,
			core: fake.EngineCore{Slots: 32, PrefillPerStep: 1 << 20},
		})
	}
	return out
}

// add adds a request to the engine.
func (e *engine) add(j *fake.Job) {
	e.core.Add(j)
	e.scheduleStep()
}

// scheduleStep schedules the end of the next step, unless one is scheduled, the
// engine is dead or it has no requests.
func (e *engine) scheduleStep() {
	if e.stepPending || e.dead || e.core.Idle() {
		return
	}
	e.stepPending = true
	e.t.after(time.Duration(float64(e.stepTime)*e.slowdown), e.finishStep)
}

// finishStep runs one step, passes on its tokens and schedules the next step.
func (e *engine) finishStep() {
	e.stepPending = false
	if e.dead {
		return
	}
	for _, tok := range e.core.Step() {
		e.t.handleToken(e, tok)
	}
	e.scheduleStep()
}

// kill fails all requests of the engine, empties its cache and makes it refuse new
// requests.
func (e *engine) kill() {
	e.dead = true
	jobs := e.core.Jobs()
	e.core.Clear()
	for _, j := range jobs {
		e.t.breakCall(j)
	}
}

// recordReport records a current report, which hosts read later.
func (e *engine) recordReport() {
	r := e.core.Report()
	rep := sched.Report{
		At: e.t.now, Running: r.Running, Waiting: r.Waiting, PrefillTokens: r.PrefillTokens, Slots: r.Slots,
		Step: e.stepTime, PrefillPerStep: r.PrefillPerStep, Model: model, AcceptsPrompts: true,
	}
	if e.plain {
		rep.Model = ""
	}
	e.pastReports = append(e.pastReports, rep)
	if len(e.pastReports) > maxPastReports {
		e.pastReports = append(e.pastReports[:0], e.pastReports[len(e.pastReports)-maxPastReports/2:]...)
	}
}

// laggedReport returns the newest report that is at least lag old.
func (e *engine) laggedReport(lag time.Duration) (sched.Report, bool) {
	for i := len(e.pastReports) - 1; i >= 0; i-- {
		if e.t.now-e.pastReports[i].At >= lag {
			return e.pastReports[i], true
		}
	}
	return sched.Report{}, false
}

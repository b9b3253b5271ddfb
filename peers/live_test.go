// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package peers

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/shoenig/test/must"
)

// TestLinesOnPeers lets hosts seem to go and come with each heartbeat for a minute, as they do where processes are short of processor: lines are few, and what changed
// for good is told.
func TestLinesOnPeers(t *testing.T) {
	const hosts, beats = 78, 300
	var lines []string
	a := &Agent{Table: &Table{Host: "self"}, Log: funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})}
	a.Init()
	hear := func(now time.Duration, i int) {
		m := a.Table.member(fmt.Sprint("host-", i))
		m.LastHeard = now
	}
	now := time.Duration(0)
	for beat := range beats {
		now += DefaultInterval
		for i := range hosts {
			if i != hosts-1 || beat < beats/2 { // the last one goes for good
				hear(now-time.Duration((i+beat)%2)*2*DefaultSilenceTimeout, i)
			}
		}
		a.noteLive(now)
	}
	must.LessEq(t, mostLiveLines+int(liveLines*now.Seconds())+1, len(lines))
	for range 2 {
		now += 2 * time.Second
		for i := range hosts - 1 {
			hear(now, i)
		}
		a.noteLive(now)
	}
	must.False(t, a.live[fmt.Sprint("host-", hosts-1)])
	must.EqOp(t, hosts-1, len(a.live))
	must.True(t, strings.Contains(lines[len(lines)-1], "\"live\"=77"))
}

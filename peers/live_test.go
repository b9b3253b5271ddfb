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

// TestPeerLogLimit simulates hosts that seem to come and go with each heartbeat for a minute, as if processes
// lacked CPU time. It checks that there are few log lines, and that a permanent change is logged.
func TestPeerLogLimit(t *testing.T) {
	const hosts, heartbeats = 78, 300
	var lines []string
	a := &Agent{Table: &Table{Host: "self"}, Log: funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})}
	a.Init()
	setLastHeard := func(now time.Duration, i int) {
		m := a.Table.member(fmt.Sprint("host-", i))
		m.LastHeard = now
	}
	now := time.Duration(0)
	for n := range heartbeats {
		now += DefaultInterval
		for i := range hosts {
			if i != hosts-1 || n < heartbeats/2 { // the last host goes for good
				setLastHeard(now-time.Duration((i+n)%2)*2*DefaultSilenceTimeout, i)
			}
		}
		a.logPeerChanges(now)
	}
	must.LessEq(t, peerLogBurst+int(peerLogRate*now.Seconds())+1, len(lines))
	for range 2 {
		now += 2 * time.Second
		for i := range hosts - 1 {
			setLastHeard(now, i)
		}
		a.logPeerChanges(now)
	}
	must.False(t, a.loggedLive[fmt.Sprint("host-", hosts-1)])
	must.EqOp(t, hosts-1, len(a.loggedLive))
	must.True(t, strings.Contains(lines[len(lines)-1], "\"live\"=77"))
}

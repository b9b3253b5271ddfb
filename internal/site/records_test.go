// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package site

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/edge"
	"github.com/heathkeel/heathkeel/platform"
	"github.com/heathkeel/heathkeel/quarantine"
)

// restartAll kills all hosts at the same time, restarts them, and waits until they serve
// requests.
func (f *crashingSite) restartAll(t *testing.T) {
	t.Helper()
	for _, h := range f.hosts {
		h.Kill()
	}
	for i, h := range f.hosts {
		<-h.Done
		restarted, err := f.Site.Restart(h)
		must.NoError(t, err)
		f.hosts[i] = restarted
	}
	f.awaitServing(t)
}

// TestHoldsSurviveRestartOfAllHosts kills all hosts at the same time after a request was held. On
// start they must read the hold from the store, so that the request reaches no endpoint again.
// After its release the request runs, and its record is removed.
func TestHoldsSurviveRestartOfAllHosts(t *testing.T) {
	f := newCrashingSite(t, 3, Engines)
	ts := &testSite{Site: f.Site}
	n := 0
	send := func() Answer {
		n++
		return Do(f.hosts[n%len(f.hosts)].Boot.Front, Call{Path: "/draft/a", Key: Key, ID: fmt.Sprint("t-", n), Body: crashText})
	}
	ts.await(t, "the request is held and recorded in the store", func() bool {
		refused := 0
		for range f.hosts {
			if send().Status == 503 {
				refused++
			}
		}
		return refused == len(f.hosts) && f.Site.Store.HasPrefix(platform.PrefixRecords)
	})
	must.EqOp(t, 1, f.Site.Store.CountWrites(platform.PrefixRecords))
	f.restartAll(t)
	runsBefore := f.CountRuns(crashText)
	for range 6 {
		must.EqOp(t, 503, send().Status)
	}
	must.EqOp(t, runsBefore, f.CountRuns(crashText))

	r := quarantine.Request{Workspace: Workspace, Method: "POST", Host: HostName, URI: "/draft/a", Body: []byte(crashText)}
	fingerprint := r.Fingerprint()
	control := "http://" + f.hosts[0].Boot.Control + edge.PathQuarantine
	for path, want := range map[string]int{"/" + fingerprint.String(): 204, "/nonsense": 400, "/" + quarantine.Fingerprint{1}.String(): 404} {
		req, err := http.NewRequest(http.MethodDelete, control+path, nil)
		must.NoError(t, err)
		resp, err := http.DefaultClient.Do(req)
		must.NoError(t, err)
		resp.Body.Close()
		must.EqOp(t, want, resp.StatusCode)
	}
	ts.await(t, "the record is removed", func() bool { return !f.Site.Store.HasPrefix(platform.PrefixRecords) })
	ts.await(t, "it runs again", func() bool {
		send()
		return f.CountRuns(crashText) > runsBefore
	})
}

// TestTrialsSurviveRestartOfAllHosts kills all hosts at the same time after three endpoints have
// crashed under a request, and again before each further send of it. The request must get three
// further sends in all.
func TestTrialsSurviveRestartOfAllHosts(t *testing.T) {
	f := newCrashingSiteWith(t, crashingSiteOptions{
		hosts: 3, endpoints: 12, service: Engines, events: 60, pace: 10 * time.Millisecond, crashDelay: 300 * time.Millisecond, restartDelay: 300 * time.Millisecond, answersBeforeCrash: true,
	})
	n := 0
	send := func() {
		n++
		Do(f.hosts[n%len(f.hosts)].Boot.Front, Call{Path: "/draft/a", Key: Key, ID: fmt.Sprint("t-", n), Body: crashText})
	}
	for range 3 {
		send()
	}
	must.EqOp(t, 3, f.CountRuns(crashText))
	(&testSite{Site: f.Site}).await(t, "the crashes are recorded in the store", func() bool { return f.Site.Store.HasPrefix(platform.PrefixRecords) })
	for range 5 {
		f.restartAll(t)
		send()
	}
	must.EqOp(t, 3+3, f.CountRuns(crashText))
}

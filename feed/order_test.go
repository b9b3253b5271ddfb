// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package feed

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/route"
)

// TestTablesComeInOrder guards against a host that keeps the older of two tables that two sources offer at the same time: the one that is
// applied first may take longer.
func TestTablesComeInOrder(t *testing.T) {
	const enough = 50 * time.Millisecond // for an offer that does not wait
	var applied []string
	newerDone := make(chan struct{})
	s := &Settings{Parse: parseVersion, Log: logr.Discard()}
	s.OnChange = func(t *route.Table) {
		name := t.Document.Routes[0].Name
		if name == "older" {
			go func() {
				defer close(newerDone)
				s.Offer([]byte("newer"), 2)
			}()
			select {
			case <-newerDone:
			case <-time.After(enough):
			}
		}
		applied = append(applied, name)
	}
	s.Offer([]byte("older"), 1)
	<-newerDone
	must.Eq(t, []string{"older", "newer"}, applied)
}

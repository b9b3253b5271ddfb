// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/heathkeel/heathkeel/platform"
)

// TestStatedLoadSwitch guards against a switch that the host shows but does not obey, and against one that is off by default.
func TestStatedLoadSwitch(t *testing.T) {
	boot := platform.Boot{Host: "a", IP: "10.0.0.1", PeerPort: 7600}
	h := newTestHost(boot)
	must.Eq(t, "on", h.vars().InForce["stated_load"])
	must.False(t, h.ingress.Policy.Disabled.StatedLoad)
	h = &Host{Boot: boot, StatedLoadOff: true, Log: h.Log, Clock: h.Clock, stopping: make(chan struct{})}
	h.assemble()
	must.Eq(t, "off", h.inForce()["stated_load"])
	must.True(t, h.ingress.Policy.Disabled.StatedLoad)
}

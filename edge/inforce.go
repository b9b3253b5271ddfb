// Copyright ©2026 The heathkeel Authors. All rights reserved.
// Use of this source code is governed by a BSD-style
// license that can be found in the LICENSE file.

package edge

import "github.com/heathkeel/heathkeel/sched"

// policy returns the scheduling policy with the host's switches applied.
func (h *Host) policy() sched.Config {
	p := policy()
	p.Disabled.StatedLoad = h.StatedLoadOff
	return p
}

// inForce returns the state of the host's switches by name.
func (h *Host) inForce() map[string]string {
	state := "on"
	if h.StatedLoadOff {
		state = "off"
	}
	return map[string]string{"stated_load": state}
}
